Feature: reducePartition

    Scenario: No sequence of messages throws, replies twice to a claim request or grants an uncommitted claim
        Then reducePartition keeps its invariants under every random sequence of messages
