Feature: An engine's owner never evicts what may be in use

    Scenario: Random messages in any order never break the owner's invariants
        Then reduceEngine keeps its invariants under 400 random runs
