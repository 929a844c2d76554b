Feature: A draining upstream receives no new requests and completes those in flight

    Scenario: An upstream is drained while requests run on it
        Given an ownership fleet of 2 gateways and 2 engines with 2 adapter slots, fencing tokens "ignored"
        When a long answer of 1000 tokens runs on each engine and the upstream is drained
        Then every answer in flight is complete and every guarantee holds
        And a request after the change took effect is refused as not run with "no_upstream"
        And the drained engines started no run after the change took effect
