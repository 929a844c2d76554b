Feature: toClaimFailure

    Scenario Outline: The error for the caller has the outcome of its key, <reply>
        Then toClaimFailure of [{"kind":"<reply>","retryAfterMs":700}] gives <result>

        Examples:
            | reply       | result                                                     |
            | granted     | undefined                                                  |
            | free        | undefined                                                  |
            | ran         | {"code":"key_spent","outcome":"ran"}                       |
            | in_progress | {"code":"key_in_progress","outcome":"unknown","retryAfterMs":1000} |
            | unknown     | {"code":"key_spent","outcome":"unknown"}                   |
            | key_reused  | {"code":"key_reused","outcome":"not_run"}                  |
            | unavailable | {"code":"kv_unavailable","outcome":"not_run","retryAfterMs":700} |
            | undecided   | {"code":"kv_unknown","outcome":"unknown"}                  |
