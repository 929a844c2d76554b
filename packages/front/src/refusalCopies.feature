Feature: A refusal counts as one of the request that it belongs to, and of no other

    # Guards against "not run" for a request that runs: a faulty engine writes an earlier refusal once more.
    # On each connection the engine answers the first request with a refusal of it, and later ones as the row says.
    Scenario Outline: <case>
        Given a refusing engine, status <status> <id>, that answers the next request on the connection with <next>
        When request "r1" and then request "<second>" are sent to the engine
        Then the second exchange ends as "<end>" after <connections> connections

        Examples:
            | case                                        | status | id         | next                          | second | end     | connections |
            | a copy of the earlier refusal               | 503    | with an id | a copy of that refusal        | r2     | broken  | 1           |
            | a copy of another engine's refusal          | 421    | with an id | a copy of that refusal        | r2     | broken  | 1           |
            | a copy that bears no id                     | 503    | without id | a copy of that refusal        | r2     | broken  | 1           |
            | a copy without id of another engine's       | 421    | without id | a copy of that refusal        | r2     | broken  | 1           |
            | a copy before the request was written       | 503    | with an id | nothing, but a copy before it | r2     | not_run | 2           |
            | a copy in two parts                         | 503    | with an id | a copy in two parts           | r2     | broken  | 1           |
            | a copy together with the request's answer   | 503    | with an id | a copy and its own answer     | r2     | broken  | 1           |
            | the request's own refusal                   | 503    | with an id | a refusal of it               | r2     | not_run | 1           |
            | the same request once more                  | 503    | with an id | a copy of that refusal        | r1     | not_run | 2           |
            | the same request, refusals without id       | 503    | without id | a copy of that refusal        | r1     | not_run | 2           |
