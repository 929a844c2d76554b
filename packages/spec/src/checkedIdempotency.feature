Feature: Exhaustive exploration of requests with an idempotency key

    Scenario: The production reducers violate no invariant, and every named defect is found
        Then the exploration of requests with an idempotency key finds no violation
        And the exploration of requests with an idempotency key finds every named defect
