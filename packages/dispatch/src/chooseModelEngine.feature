Feature: Generations go to an engine that has their adapter unless its queue costs more than a load

    Scenario Outline: <case>
        Given model engines <engines>
        Then the generation goes to "<engine>"

        Examples:
            | case                                                    | engines                           | engine |
            | one engine has the adapter                              | a:absent b:present c:absent       | b      |
            | no engine has it: the first in rendezvous order         | a:absent b:absent c:absent        | a      |
            | all adapter slots of the first are in use               | a:absent+600 b:absent c:absent    | b      |
            | it is being loaded                                      | a:absent b:coming+150 c:absent    | b      |
            | two engines have it: the shorter queue                  | a:present,load=9 b:present,load=2 | b      |
            | a popular adapter: a short queue costs less than a load | a:present,load=20 b:absent        | a      |
            | waiting prompts take longer than a load                 | a:present,tokens=60000 b:absent   | b      |
            | the engine that has it is unresponsive                  | a:present,silent b:absent         | b      |
            | the engine that has it stops in 2 s                     | a:present,leaves=2000 b:absent    | b      |
            | no owner can order loads at the first                   | a:absent,unowned b:absent         | b      |
            | all are unresponsive: one is chosen anyway              | a:present,silent b:absent,silent  | a      |

    Scenario: Simultaneous requests for rare adapters spread over the engines with free slots
        Given 6 model engines with 8 adapter slots and 200 rare adapters, seed 3
        When 40 rare adapters are requested within 200 ms
        Then no engine was chosen for more than 12 of them

    Scenario Outline: Baseline policies: <case>
        Given model engines <engines>
        Then under "<policy>" the generation goes to "<engine>"

        Examples:
            | case                                         | policy       | engines                                          | engine |
            | the shortest queue, wherever the adapter is  | least_loaded | a:present,load=3 b:absent,load=1 c:absent,load=2 | b      |
            | not to an unresponsive engine                | least_loaded | a:present,load=3 b:absent,silent                 | a      |
            | the first in the adapter's rendezvous order  | adapter_hash | a:absent,load=90 b:present                       | a      |
            | the next one where the first is unresponsive | adapter_hash | a:absent,silent b:absent c:present               | b      |

    Scenario: An unknown policy is rejected
        Then "round_robin" is rejected as a policy
