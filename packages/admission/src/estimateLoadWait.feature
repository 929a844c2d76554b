Feature: How long a request waits for its adapter

    Scenario Outline: <case>
        Then estimateLoadWait of <args> gives <result>

        Examples:
            | case                        | args | result |
            | nothing is ahead            | [{"loadsAhead":0,"loadsPerSecond":0.5,"loadMs":500}] | 500 |
            | each load ahead takes turns | [{"loadsAhead":3,"loadsPerSecond":0.5,"loadMs":500}] | 6500 |
            | a quicker share waits less  | [{"loadsAhead":3,"loadsPerSecond":2,"loadMs":500}] | 2000 |
