Feature: A host's budget of loads

    Scenario Outline: <case>
        Then refillBudget of <args> gives <result>

        Examples:
            | case                           | args | result |
            | starts come due with time      | [{"tokens":0,"atMs":0,"inTransit":1},{"loadsPerSecond":0.5,"maxInTransit":2,"burst":2,"maxFactor":4},1000] | {"tokens":0.5,"atMs":1000,"inTransit":1} |
            | only so many are saved up      | [{"tokens":1,"atMs":0,"inTransit":0},{"loadsPerSecond":2,"maxInTransit":2,"burst":2,"maxFactor":4},9000] | {"tokens":2,"atMs":9000,"inTransit":0} |
            | time does not run backwards    | [{"tokens":1,"atMs":500,"inTransit":0},{"loadsPerSecond":2,"maxInTransit":2,"burst":2,"maxFactor":4},400] | {"tokens":1,"atMs":400,"inTransit":0} |
