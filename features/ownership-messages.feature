Feature: A hot adapter costs no exchange between processes for each request

    Scenario: Requests one after the other use the place that was granted to the first
        Given an ownership fleet of 2 gateways and 1 engines with 2 adapter places, fences "ignored"
        When 40 requests for one hot adapter reach the gateway that does not own the engine, one after the other
        Then hot answers are all whole and fewer than 20 places were asked for

    Scenario: An upstream that leaves gets no request on a place that was kept
        Given an ownership fleet of 2 gateways and 1 engines with 2 adapter places, fences "ignored"
        When 3 requests for one hot adapter reach the gateway that does not own the engine, one after the other
        And the upstream of the hot adapter leaves
        Then a further hot request is refused as not run
