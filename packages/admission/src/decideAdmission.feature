Feature: Whether a request may wait

    Scenario Outline: <case>
        Then decideAdmission of <args> gives <result>

        Examples:
            | case                                 | args | result |
            | there is room and time               | [{"waiting":0,"waitingOfCaller":0,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":500,"waitLeftMs":900}] | {"kind":"admit"} |
            | the queue is full                    | [{"waiting":2,"waitingOfCaller":0,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":500,"waitLeftMs":900}] | {"kind":"refuse","code":"queue_full","retryAfterMs":1000} |
            | the caller's part of it is full      | [{"waiting":1,"waitingOfCaller":1,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":500,"waitLeftMs":900}] | {"kind":"refuse","code":"caller_limit","retryAfterMs":1000} |
            | it could not be served in time       | [{"waiting":0,"waitingOfCaller":0,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":5000,"waitLeftMs":900}] | {"kind":"refuse","code":"deadline_unreachable","retryAfterMs":5000} |
