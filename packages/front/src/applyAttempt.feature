Feature: What follows from an attempt keeps "not run" true and tries again only what may run again

    Scenario Outline: <case>
        Given a request whose attempts so far were "<before>"
        When its attempt at "e2" ends as "<result>" and it <may>
        Then what follows is "<next>"

        Examples:
            | case                                        | before  | result        | may                     | next                        |
            | the answer has gone out                     |         | relayed       | may not run again       | relayed                     |
            | the whole answer                            |         | answer 200    | may not run again       | answer 200                  |
            | a failure that another engine may replace   |         | answer 500    | may be answered by others | again ran passed          |
            | a failure that nobody may replace           |         | answer 500    | may not run again       | answer 500                  |
            | refused, not run                            |         | not_run 503   | may not run again       | again not_run after 45      |
            | the adapter is not there                    |         | not_run 421   | may not run again       | again not_run missing after 45 |
            | another engine at the address               |         | not_run 421 replaced | may not run again | again not_run after 45     |
            | nothing was sent                            |         | unsent        | may not run again       | again passed                |
            | it broke off and may have run               |         | broken        | may not run again       | gave_up unknown broken      |
            | the same where it may run again             |         | broken        | may run again           | again unknown passed        |
            | its time is over                            |         | cancelled     | may run again           | gave_up unknown ended       |
            | it may have run before and was refused now  | unknown | not_run 503   | may run again           | again unknown not_run after 45 |
            | it failed before and breaks off now         | failed  | broken        | may not run again       | answer 500                  |

    Scenario Outline: Given up: <case>
        Given a request whose attempts so far were "<before>"
        Then giving it up as "no_room" says "<end>"

        Examples:
            | case                         | before          | end                     |
            | nothing was sent             |                 | gave_up not_run no_room |
            | every attempt was refused    | not_run not_run | gave_up not_run no_room |
            | one attempt may have run     | unknown not_run | gave_up unknown no_room |
            | an engine's failure is there | failed not_run  | answer 500              |
