Feature: A planned stop hands the engines over and cuts off nothing

    Scenario Outline: A gateway stops under requests, engines that have fences <fencing>
        Given an ownership fleet of 3 gateways and 2 engines with 2 adapter places, fences "<fencing>"
        When a long answer of <tokens> tokens is running at each gateway and gateway 1 stops
        Then every leaving answer is whole and no promise is broken
        And the other gateways own every engine

        Examples:
            | fencing | tokens |
            | ignored | 1000   |
            | checked | 1000   |

    Scenario: A host that the list calls leaving gives its engines up and gets none
        Given an ownership fleet of 2 gateways and 2 engines with 2 adapter places, fences "ignored"
        When the host list calls gateway 1 leaving
        Then gateway 2 owns every engine
        And requests are served again by "1,2"
