Feature: A process detects that it was paused

    Scenario Outline: <case>
        Given a pause detector
        When its host <what>
        Then the reported pauses are "<pauses>" ms

        Examples:
            | case                                       | what                                   | pauses |
            | running normally                           | runs for 5000 ms                       |        |
            | a short delay                              | is late by 500 ms                      |        |
            | frozen while the monotonic clock goes on   | is late by 4000 ms                     | 4000   |
            | suspended with the monotonic clock stopped | misses 3000 ms of the time of day    | 3000   |
