Feature: Number of loads that may start now

    Scenario Outline: <case>
        Then countAllowedLoads of <args> gives <result>

        Examples:
            | case                            | args | result |
            | only whole tokens count         | [{"tokens":1.9,"atMs":0,"inTransit":0},{"loadsPerSecond":1,"maxInTransit":2,"burst":2,"maxFactor":1}] | 1 |
            | the limit of loads in transit   | [{"tokens":2,"atMs":0,"inTransit":2},{"loadsPerSecond":1,"maxInTransit":2,"burst":2,"maxFactor":1}] | 0 |
            | a smaller share stops new loads | [{"tokens":2,"atMs":0,"inTransit":3},{"loadsPerSecond":1,"maxInTransit":1,"burst":2,"maxFactor":1}] | 0 |
