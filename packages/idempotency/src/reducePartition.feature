Feature: reducePartition

    Scenario: No sequence of messages throws, answers an ask twice or grants a claim that is not committed
        Then every random sequence of messages to reducePartition keeps its promises
