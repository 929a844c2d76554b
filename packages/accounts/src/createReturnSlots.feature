Feature: Times at which refused clients return

    # Guards against clients that all return at the moment at which the first request fits.
    Scenario: Returns follow each other at the rate, and begin again after 4 s
        Then 10 requests of 14500 tokens refused for 300 ms at 29000 tokens a second return after 300 to 4300 ms, 500 ms apart
