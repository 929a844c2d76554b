Feature: countBatch counts places only while work waits

    Scenario Outline: <case>
        Then countBatch of [<running>, <atEngine>, <atOwner>] gives <result>

        Examples:
            | case             | running | atEngine | atOwner | result  |
            | nothing waits    | 5       | 0        | 0       | [0,0]   |
            | waits at engine  | 16      | 2        | 0       | [16,16] |
            | waits at owner   | 12      | 0        | 1       | [12,16] |
