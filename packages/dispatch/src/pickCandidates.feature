Feature: A host queries a few engines only, and hosts with little information pick different ones

    Scenario Outline: <case>
        Given candidates among <engines>
        Then candidates are "<picked>"

        Examples:
            | case                                | engines                                                   | picked  |
            | few engines: all of them            | a:absent b:absent c:absent                                | a b c   |
            | engines with the adapter come first | a:absent b:absent c:present d:absent e:absent f:present   | a b c f |
            | then the first in rendezvous order  | a:absent b:absent c:absent d:absent e:absent f:absent     | a b c d |
            | a long queue is left out            | a:present,load=90 b:present c:present d:present e:present | b c d e |
            | unresponsive engines are left out   | a:present,silent b:present c:present d:present e:present  | b c d e |

    Scenario: Many hosts without information spread over a popular adapter's engines
        Given 42 model engines that all have the adapter
        When 84 hosts pick candidates for it, seed 5
        Then every engine is picked by 2 hosts or more, and none by more than 20
