Feature: Wait of a request for its adapter

    Scenario Outline: <case>
        Then estimateLoadWait of <args> gives <result>

        Examples:
            | case                          | args | result |
            | no loads ahead                | [{"loadsAhead":0,"loadsPerSecond":0.5,"loadMs":500}] | 500 |
            | loads ahead start in sequence | [{"loadsAhead":3,"loadsPerSecond":0.5,"loadMs":500}] | 6500 |
            | a higher rate waits less      | [{"loadsAhead":3,"loadsPerSecond":2,"loadMs":500}] | 2000 |
