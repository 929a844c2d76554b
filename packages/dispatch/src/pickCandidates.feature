Feature: A host asks for news of a few engines only, and hosts that know little don't all pick the same

    Scenario Outline: <case>
        Given candidates among <engines>
        Then candidates are "<picked>"

        Examples:
            | case                                      | engines                                                    | picked  |
            | few engines: all of them                  | a:absent b:absent c:absent                                 | a b c   |
            | holders come before engines without it    | a:absent b:absent c:present d:absent e:absent f:present    | a b c f |
            | the first in the adapter's own order next | a:absent b:absent c:absent d:absent e:absent f:absent      | a b c d |
            | a long queue is left out                  | a:present,load=90 b:present c:present d:present e:present  | b c d e |
            | silent engines are left out               | a:present,silent b:present c:present d:present e:present   | b c d e |

    Scenario: Many hosts that know nothing of a popular adapter's engines spread over them
        Given 42 model engines that all have the adapter
        When 84 hosts pick candidates for it, seed 5
        Then every engine is picked by 2 hosts or more, and none by more than 20
