Feature: Generations go where their adapter is, unless the queue there costs more than a load

    Scenario Outline: <case>
        Given model engines <engines>
        Then the generation goes to "<engine>"

        Examples:
            | case                                               | engines                                     | engine |
            | the adapter is there                               | a:absent b:present c:absent                 | b      |
            | nobody has it: the first in its own order          | a:absent b:absent c:absent                  | a      |
            | every place of the first is in use                 | a:absent+600 b:absent c:absent              | b      |
            | it is being loaded                                 | a:absent b:coming+150 c:absent              | b      |
            | two have it: the shorter queue                     | a:present,load=9 b:present,load=2           | b      |
            | a hot adapter: a little queue is cheaper than a load | a:present,load=20 b:absent                | a      |
            | prompts wait there for longer than a load takes    | a:present,tokens=60000 b:absent             | b      |
            | the engine that has it fell silent                 | a:present,silent b:absent                   | b      |
            | the engine that has it leaves in 2 s               | a:present,leaves=2000 b:absent              | b      |
            | nobody may order loads at the first                | a:absent,unowned b:absent                   | b      |
            | all are silent: still one of them                  | a:present,silent b:absent,silent            | a      |

    Scenario: Rare adapters asked for at once spread over the engines that have room
        Given 6 model engines with 8 places and 200 rare adapters, seed 3
        When 40 rare adapters are asked for within 200 ms
        Then no engine was chosen for more than 12 of them

    Scenario Outline: Simple policies to compare with: <case>
        Given model engines <engines>
        Then under "<policy>" the generation goes to "<engine>"

        Examples:
            | case                                       | policy       | engines                                          | engine |
            | the shortest queue, wherever the adapter is | least_loaded | a:present,load=3 b:absent,load=1 c:absent,load=2 | b      |
            | not to an engine that fell silent          | least_loaded | a:present,load=3 b:absent,silent                 | a      |
            | the first in the adapter's own order       | adapter_hash | a:absent,load=90 b:present                       | a      |
            | the next one where the first is silent     | adapter_hash | a:absent,silent b:absent c:present               | b      |

    Scenario: A policy that does not exist is refused
        Then "round_robin" is refused as a policy
