Feature: A leaving upstream gets no new work and its running work finishes

    Scenario: An upstream is drained while an answer runs on it
        Given an ownership fleet of 2 gateways and 2 engines with 2 adapter places, fences "ignored"
        When a long answer of 1000 tokens runs on each engine and the upstream leaves
        Then every leaving answer is whole and no promise is broken
        And a request after the change in force is refused as not run with "no_upstream"
        And the leaving engines started nothing after the change was in force
