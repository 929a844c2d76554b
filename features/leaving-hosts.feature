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

    Scenario: A stop ends only once each engine's record says that it was released, also while the service is slow
        Given an ownership fleet of 2 gateways and 4 engines with 2 adapter places, fences "ignored"
        And the KV takes 150 ms for each answer
        When leaving gateway 1 has stopped
        Then no owner record names leaving gateway 1 as an owner that did not release
