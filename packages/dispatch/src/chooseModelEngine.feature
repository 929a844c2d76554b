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

    # Guards against streams that pause too long for their callers since an engine reads a long prompt between their
    # events.
    Scenario Outline: Engines whose speed is known: <case>
        Given model engines <engines>
        Then the generation goes to "<engine>"

        Examples:
            | case                                           | engines                                                                                   | engine |
            | the faster one                                 | a:present,speed=21,prompt=9000 b:present,speed=46,prompt=9000                             | b      |
            | a queue at the faster one                      | a:present,speed=21,prompt=900 b:present,speed=46,prompt=900,tokens=9000                   | a      |
            | one has kept a part of the prompt              | a:present,speed=46,prompt=9000 b:present,speed=46,prompt=5000                             | b      |
            | it is slow at this moment                      | a:present,speed=46,slow=2.5,prompt=9000,load=3 b:present,speed=46,prompt=9000,load=3      | b      |
            | a long prompt, streams at a slow engine        | a:present,speed=21,load=4,prompt=9000 b:present,speed=46,load=14,prompt=9000,tokens=9000  | b      |
            | a short prompt beside the same streams         | a:present,speed=21,load=4,prompt=800 b:present,speed=46,load=14,prompt=800,tokens=9000    | a      |
            | a slow engine whose streams are late already   | a:present,speed=21,load=9,prompt=3000,tokens=12000 b:present,speed=21,load=9,prompt=3000,tokens=6000 | a |
            | long prompts gather where others come          | a:present,speed=46,load=5,prompt=9000 b:present,speed=46,load=5,prompt=9000,prompts=40000 | b      |
            | but not where many wait                        | a:present,speed=46,load=2,prompt=9000 b:present,speed=46,load=2,prompt=9000,prompts=40000,tokens=60000 | a |
            | a long stream avoids them                      | a:present,speed=46,load=9,prompt=800,answer=290 b:present,speed=46,load=4,prompt=800,answer=290,prompts=40000 | a |
            | little memory for tokens is left               | a:present,speed=46,prompt=900,memory=0.95 b:present,speed=46,prompt=900,load=20           | b      |
            | a load elsewhere costs less than late streams  | a:present,speed=21,load=9,prompt=9000 b:absent,speed=46,load=2,prompt=9000                | b      |

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
