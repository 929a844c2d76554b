Feature: A request is retried only if that is allowed, and is reported as "not run" only if no engine can have run it

    Scenario Outline: <case>
        Given a request with the earlier attempts "<before>"
        When an attempt at "e2" ends as "<result>" and it <may>
        Then the next step is "<next>"

        Examples:
            | case                                        | before  | result        | may                     | next                        |
            | the answer was streamed to the client       |         | relayed       | may not run again       | relayed                     |
            | a buffered answer                           |         | answer 200    | may not run again       | answer 200                  |
            | a failure that another engine may answer    |         | answer 500    | may be answered by others | again ran passed          |
            | a failure without another engine            |         | answer 500    | may not run again       | answer 500                  |
            | refused without running                     |         | not_run 503   | may not run again       | again not_run after 45      |
            | the engine lacks the adapter                |         | not_run 421   | may not run again       | again not_run missing after 45 |
            | another engine has the address              |         | not_run 421 replaced | may not run again | again not_run after 45     |
            | nothing was sent                            |         | unsent        | may not run again       | again passed                |
            | the connection failed, it may have run      |         | broken        | may not run again       | gave_up unknown broken      |
            | the same for a request that may be repeated |         | broken        | may run again           | again unknown passed        |
            | cancelled at its deadline                   |         | cancelled     | may run again           | gave_up unknown ended       |
            | may have run before, refused now            | unknown | not_run 503   | may run again           | again unknown not_run after 45 |
            | failed before, the connection fails now     | failed  | broken        | may not run again       | answer 500                  |

    Scenario Outline: Outcome of a request without further attempts: <case>
        Given a request with the earlier attempts "<before>"
        Then ending it with the reason "no_room" gives "<end>"

        Examples:
            | case                         | before          | end                     |
            | nothing was sent             |                 | gave_up not_run no_room |
            | every attempt was refused    | not_run not_run | gave_up not_run no_room |
            | one attempt may have run     | unknown not_run | gave_up unknown no_room |
            | an engine's failed answer    | failed not_run  | answer 500              |
