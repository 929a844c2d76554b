Feature: A refused client comes back when there is room, while it still waits as told

    Scenario Outline: <case>
        Then chooseRetryAfter of [<terms>] gives <result>

        Examples:
            | case                              | terms                                          | result |
            | when there is room                | {"readyInMs":400,"leftMs":4000,"draw":0}       | 400    |
            | spread over half as long again    | {"readyInMs":400,"leftMs":4000,"draw":0.5}     | 500    |
            | no longer than clients wait       | {"readyInMs":4000,"leftMs":4000,"draw":0}      | 1200   |
            | not for longer than conditions last | {"readyInMs":6000,"leftMs":15000,"draw":0}  | 1500   |
            | never at the same moment          | {"readyInMs":0,"leftMs":4000,"draw":0.5}       | 38     |
            | hardly any time left              | {"readyInMs":400,"leftMs":0,"draw":0}          | 1      |
