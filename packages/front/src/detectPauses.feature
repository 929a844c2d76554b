Feature: A process detects that it was paused

    Scenario Outline: <case>
        Given a pause detector
        When the process <what>
        Then the reported pauses are "<pauses>" ms

        Examples:
            | case                                       | what                     | pauses |
            | running normally                           | runs for 5000 ms         |        |
            | a short delay                              | is delayed by 500 ms     |        |
            | frozen while the monotonic clock continues | is delayed by 4000 ms    | 4000   |
            | suspended with the monotonic clock stopped | is suspended for 3000 ms | 3000   |
