Feature: A rejected client retries when capacity is free, within the time it is willing to wait

    Scenario Outline: <case>
        Then chooseRetryAfter of [<terms>] gives <result>

        Examples:
            | case                                       | terms                                      | result |
            | when capacity is free                      | {"readyInMs":400,"leftMs":4000,"draw":0}   | 400    |
            | random delay of up to half the wait        | {"readyInMs":400,"leftMs":4000,"draw":0.5} | 500    |
            | no longer than clients are willing to wait | {"readyInMs":4000,"leftMs":4000,"draw":0}  | 1200   |
            | no longer than the maximum wait            | {"readyInMs":6000,"leftMs":15000,"draw":0} | 1500   |
            | a minimum wait with a random delay         | {"readyInMs":0,"leftMs":4000,"draw":0.5}   | 38     |
            | hardly any time left                       | {"readyInMs":400,"leftMs":0,"draw":0}      | 1      |
