Feature: Refill of a host's load budget

    Scenario Outline: <case>
        Then refillBudget of <args> gives <result>

        Examples:
            | case                            | args | result |
            | tokens accumulate over time     | [{"tokens":0,"atMs":0,"inTransit":1},{"loadsPerSecond":0.5,"maxInTransit":2,"burst":2,"maxFactor":4},1000] | {"tokens":0.5,"atMs":1000,"inTransit":1} |
            | tokens are limited to the burst | [{"tokens":1,"atMs":0,"inTransit":0},{"loadsPerSecond":2,"maxInTransit":2,"burst":2,"maxFactor":4},9000] | {"tokens":2,"atMs":9000,"inTransit":0} |
            | an earlier time adds no tokens  | [{"tokens":1,"atMs":500,"inTransit":0},{"loadsPerSecond":2,"maxInTransit":2,"burst":2,"maxFactor":4},400] | {"tokens":1,"atMs":400,"inTransit":0} |
