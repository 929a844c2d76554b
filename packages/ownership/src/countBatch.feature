Feature: Batch slots are counted as used and offered only while requests wait

    Scenario Outline: <case>
        Then countBatch of [<running>, <atEngine>, <atOwner>] gives <result>

        Examples:
            | case                    | running | atEngine | atOwner | result  |
            | no request waits        | 5       | 0        | 0       | [0,0]   |
            | one waits at the engine | 16      | 2        | 0       | [16,16] |
            | one waits at the owner  | 12      | 0        | 1       | [12,16] |
