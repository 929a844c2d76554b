Feature: An owner's right to order an engine that checks no fences ends by its own clocks

    Scenario Outline: <case>
        Then holdsOrderRight of [<confirmed>, {"nowMs":<now>,"wallMs":<wall>}] gives <holds>

        Examples:
            | case                                         | confirmed                  | now  | wall  | holds |
            | just confirmed                               | {"nowMs":100,"wallMs":500} | 100  | 500   | true  |
            | the last moment                              | {"nowMs":0,"wallMs":0}     | 7999 | 7999  | true  |
            | over                                         | {"nowMs":0,"wallMs":0}     | 8000 | 8000  | false |
            | the host was suspended: one clock stood still | {"nowMs":0,"wallMs":0}     | 100  | 9000  | false |
            | the wall clock was set back                  | {"nowMs":0,"wallMs":9000}  | 8000 | 1000  | false |
            | the wall clock was set forward               | {"nowMs":0,"wallMs":0}     | 100  | 60000 | false |
            | the store has never shown the claim          | null                       | 0    | 0     | false |
