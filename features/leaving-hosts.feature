Feature: A graceful stop hands the engines over and aborts no request

    Scenario Outline: A gateway stops with requests in flight, fencing tokens <fencing>
        Given an ownership fleet of 3 gateways and 2 engines with 2 adapter slots, fencing tokens "<fencing>"
        When a long answer of <tokens> tokens is running at each gateway and gateway 1 stops
        Then every answer in flight is complete and every guarantee holds
        And the other gateways own every engine

        Examples:
            | fencing | tokens |
            | ignored | 1000   |
            | checked | 1000   |

    Scenario: A host that is listed as leaving releases its engines and owns no new ones
        Given an ownership fleet of 2 gateways and 2 engines with 2 adapter slots, fencing tokens "ignored"
        When the host list marks gateway 1 as leaving
        Then gateway 2 owns every engine
        And gateways "1,2" serve requests again

    Scenario: A stop completes only after each engine is recorded as released, even if the key-value service is slow
        Given an ownership fleet of 2 gateways and 4 engines with 2 adapter slots, fencing tokens "ignored"
        And the key-value service takes 150 ms for each answer
        When gateway 1 has stopped gracefully
        Then no owner record names gateway 1 as an owner that has not released
