Feature: Keyed requests are explored exhaustively

    Scenario: The production reducers break no invariant and every named defect is found
        Then the exploration of keyed requests finds no violation
        And the exploration of keyed requests finds each named defect
