Feature: Arrivals beyond the first stay within the shared budget in every window

    Scenario: A host uses its part of the reserve and no more
        Given a retry window with ratio 0, reserve 50 and 5 hosts
        When the retry window is asked 20 times at 0 ms
        Then the retry window allowed 8

    Scenario: Requests earn arrivals, which count for one window
        Given a retry window with ratio 0.2, reserve 0 and 5 hosts
        When the retry window takes in 100 requests at 0 ms
        And the retry window is asked 40 times at 9000 ms
        Then the retry window allowed 16
        When the retry window is asked 1 times at 10001 ms
        Then the retry window allowed 16

    Scenario: Under a surge of failures every sliding window keeps the budget
        Given a retry window with ratio 0.2, reserve 52 and 6 hosts
        When 2000 seeded requests over 60 s each ask for two retries
        Then no window of 10 s holds more retries than its budget
