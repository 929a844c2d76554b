Feature: An engine's owner never evicts an instance that may be in use

    Scenario: The owner keeps its invariants under random messages in any order
        Then reduceEngine keeps its invariants under 400 random runs
