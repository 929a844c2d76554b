Feature: A process knows that it stood still

    Scenario Outline: <case>
        Given a watch for pauses
        When its host <what>
        Then the watch told of pauses of "<pauses>" ms

        Examples:
            | case                                       | what                                   | pauses |
            | nothing happens                            | runs for 5000 ms                       |        |
            | a short delay                              | is late by 500 ms                      |        |
            | frozen, and the steady clock goes on       | is late by 4000 ms                     | 4000   |
            | suspended, and the steady clock stands still | misses 3000 ms of the time of day    | 3000   |
