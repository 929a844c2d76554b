Feature: Retry of a failed attempt

    Scenario Outline: <case>
        Then decideRetry of <args> gives <result>

        Examples:
            | case                                       | args                                                                                        | result                                          |
            | after a random delay                       | [{"attempt":1,"maxAttempts":4,"isRetryable":true,"tokens":5,"timeLeftMs":900,"draw":0.5}]   | {"kind":"retry","delayMs":10}                   |
            | later attempts wait longer                 | [{"attempt":3,"maxAttempts":4,"isRetryable":true,"tokens":5,"timeLeftMs":900,"draw":0.5}]   | {"kind":"retry","delayMs":40}                   |
            | a request that may have run is not retried | [{"attempt":1,"maxAttempts":4,"isRetryable":false,"tokens":5,"timeLeftMs":900,"draw":0.5}]  | {"kind":"give_up","reason":"not_retryable"}     |
            | the number of attempts is limited          | [{"attempt":4,"maxAttempts":4,"isRetryable":true,"tokens":5,"timeLeftMs":900,"draw":0.5}]   | {"kind":"give_up","reason":"too_many_attempts"} |
            | the host's budget is spent                 | [{"attempt":1,"maxAttempts":4,"isRetryable":true,"tokens":0.9,"timeLeftMs":900,"draw":0.5}] | {"kind":"give_up","reason":"budget_spent"}      |
            | the delay exceeds the time left            | [{"attempt":1,"maxAttempts":4,"isRetryable":true,"tokens":5,"timeLeftMs":10,"draw":0.5}]    | {"kind":"give_up","reason":"no_time"}           |
