Feature: Retries stay within the shared budget in every window

    Scenario: A host uses no more than its part of the reserve
        Given a retry window with ratio 0, reserve 50 and 5 hosts
        When the retry window receives 20 retry attempts at 0 ms
        Then the retry window allowed 8

    Scenario: Requests add to the budget for one window
        Given a retry window with ratio 0.2, reserve 0 and 5 hosts
        When the retry window records 100 requests at 0 ms
        And the retry window receives 40 retry attempts at 9000 ms
        Then the retry window allowed 16
        When the retry window receives 1 retry attempt at 10001 ms
        Then the retry window allowed 16

    Scenario: Every sliding window keeps to the budget under a surge of failures
        Given a retry window with ratio 0.2, reserve 52 and 6 hosts
        When 2000 seeded requests over 60 s each attempt two retries
        Then no window of 10 s holds more retries than its budget
