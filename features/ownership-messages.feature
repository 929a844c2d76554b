Feature: Requests for a hot adapter reuse the place that the owner granted

    Scenario: Consecutive requests reuse the place that was granted to the first one
        Given an ownership fleet of 2 gateways and 1 engines with 2 adapter slots, fencing tokens "ignored"
        When 40 requests for one hot adapter reach the gateway that does not own the engine, one after the other
        Then all answers for the hot adapter are complete and fewer than 20 place requests were sent

    Scenario: A draining upstream receives no request on a retained place
        Given an ownership fleet of 2 gateways and 1 engines with 2 adapter slots, fencing tokens "ignored"
        When 3 requests for one hot adapter reach the gateway that does not own the engine, one after the other
        And the upstream of the hot adapter is drained
        Then a further request for the hot adapter is refused as not run
