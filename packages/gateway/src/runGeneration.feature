Feature: runGeneration passes on exactly one whole run

    Scenario: A whole answer that breaks off runs again elsewhere and holds each token once
        Given runGeneration engines "a" that breaks after 3 tokens and "b" that is sound
        When runGeneration runs 6 tokens
        Then runGeneration delivered "0 1 2 3 4 5" from "b" after 1 retry of "stream_broken"
        And runGeneration cancelled the run on "a"

    Scenario: A keyed request is not run again
        Given runGeneration engines "a" that breaks after 3 tokens and "b" that is sound
        When runGeneration runs 6 tokens under a key
        Then runGeneration failed with "stream_broken" and "ran"
        And runGeneration began 1 run

    Scenario: A refused request goes elsewhere, also under a key
        Given runGeneration engines "a" that refuses and "b" that is sound
        When runGeneration runs 6 tokens under a key
        Then runGeneration delivered "0 1 2 3 4 5" from "b" after 1 retry of "upstream_refused"

    Scenario: A slow caller holds back the engine
        Given runGeneration engines "a" that is sound and "b" that is sound
        When runGeneration runs 100000 tokens to a caller that takes 10 tokens and stops
        Then runGeneration read at most 11 tokens from the engine

    Scenario Outline: A request whose first attempt <kind> and that finds no other place is told the truth
        Given runGeneration engines "a" that <kind> and "a" that <kind>
        When runGeneration runs 6 tokens
        Then runGeneration failed with "queue_full" and "<outcome>"

        Examples:
            | kind                  | outcome |
            | refuses               | not_run |
            | breaks after 3 tokens | ran     |
