Feature: runGeneration delivers exactly one complete run

    Scenario: A non-streamed answer whose stream breaks runs again on another engine and contains each token once
        Given runGeneration has engine "a" that breaks after 3 tokens and engine "b" that works
        When runGeneration requests 6 tokens
        Then runGeneration delivered "0 1 2 3 4 5" from "b" after 1 retry for "stream_broken"
        And runGeneration cancelled the run on "a"

    Scenario: A keyed request is not run again after it started
        Given runGeneration has engine "a" that breaks after 3 tokens and engine "b" that works
        When runGeneration requests 6 tokens with a key
        Then runGeneration failed with "stream_broken" and "ran"
        And runGeneration started 1 run

    Scenario: A request refused by one engine runs on another, even with a key
        Given runGeneration has engine "a" that refuses and engine "b" that works
        When runGeneration requests 6 tokens with a key
        Then runGeneration delivered "0 1 2 3 4 5" from "b" after 1 retry for "upstream_refused"

    Scenario: A slow caller stops the reads from the engine
        Given runGeneration has engine "a" that works and engine "b" that works
        When runGeneration requests 100000 tokens for a caller that reads 10 tokens and stops
        Then runGeneration read at most 11 tokens from the engine

    Scenario Outline: A request whose first attempt <behavior> fails with the combined outcome if there is no other place
        Given runGeneration has engine "a" that <behavior> and engine "a" that <behavior>
        When runGeneration requests 6 tokens
        Then runGeneration failed with "queue_full" and "<outcome>"

        Examples:
            | behavior              | outcome |
            | refuses               | not_run |
            | breaks after 3 tokens | ran     |
