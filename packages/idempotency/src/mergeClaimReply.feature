Feature: mergeClaimReply

    Scenario Outline: A claim that may be committed is never reported as not run
        Then mergeClaimReply of <args> gives <result>

        Examples:
            | args                                               | result                                     |
            | [{"kind":"granted"}, true]                         | {"kind":"granted"}                         |
            | [{"kind":"unavailable","retryAfterMs":5}, false]   | {"kind":"unavailable","retryAfterMs":5}    |
            | [{"kind":"unavailable","retryAfterMs":5}, true]    | {"kind":"undecided"}                       |
            | [null, false]                                      | {"kind":"undecided"}                       |
