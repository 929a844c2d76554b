Feature: A stopping host accepts only requests that end before it stops

    Scenario Outline: <case>
        Then canFinishBeforeStop of [<args>] gives <result>

        Examples:
            | case                                                  | args                                                  | result |
            | a stream just after the signal                        | "streaming", 15000, {"sinceMs":100,"untilMs":7400}    | true   |
            | a stream while the load balancer doesn't know         | "streaming", 15000, {"sinceMs":2700,"untilMs":4800}   | true   |
            | a stream when it knows                                | "streaming", 15000, {"sinceMs":3100,"untilMs":4800}   | false  |
            | a stream long after the signal                        | "streaming", 15000, {"sinceMs":5200,"untilMs":2300}   | false  |
            | a stream with a short timeout                         | "streaming", 2000, {"sinceMs":5200,"untilMs":2300}    | true   |
            | a plain request long after the signal                 | "unsafe", 800, {"sinceMs":5200,"untilMs":2300}        | true   |
            | a plain request shortly before the stop               | "safe", 800, {"sinceMs":6800,"untilMs":700}           | false  |
            | one that usually ends in time, late in the stop       | "safe", 3000, {"sinceMs":6500,"untilMs":1000}         | false  |
            | the same, just after the signal                       | "safe", 3000, {"sinceMs":500,"untilMs":1000}          | true   |
            | one that may run once, late in the stop               | "unsafe", 3000, {"sinceMs":6500,"untilMs":1000}       | false  |
            | one that may run once, just after the signal          | "unsafe", 3000, {"sinceMs":500,"untilMs":1000}        | false  |
            | one that may run once and has time                    | "unsafe", 3000, {"sinceMs":500,"untilMs":7000}        | true   |
