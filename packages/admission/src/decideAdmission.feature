Feature: Admission of a request to a queue

    Scenario Outline: <case>
        Then decideAdmission of <args> gives <result>

        Examples:
            | case                                    | args | result |
            | a free queue position and enough time   | [{"waiting":0,"waitingOfCaller":0,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":500,"waitLeftMs":900}] | {"kind":"admit"} |
            | the queue is full                       | [{"waiting":2,"waitingOfCaller":0,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":500,"waitLeftMs":900}] | {"kind":"refuse","code":"queue_full","retryAfterMs":1000} |
            | the caller's share of the queue is full | [{"waiting":1,"waitingOfCaller":1,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":500,"waitLeftMs":900}] | {"kind":"refuse","code":"caller_limit","retryAfterMs":1000} |
            | the request can't be served in time     | [{"waiting":0,"waitingOfCaller":0,"queueLimit":2,"callerQueueLimit":1,"expectedWaitMs":5000,"waitLeftMs":900}] | {"kind":"refuse","code":"deadline_unreachable","retryAfterMs":5000} |
