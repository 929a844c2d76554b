Feature: Failing engines are avoided for a while and recover slowly

    Scenario Outline: <case>
        Then the health after <messages> at <at> ms is blocked <blocked> with failures <share>

        Examples:
            | case                           | messages                                      | at   | blocked | share |
            | nothing is known               |                                               | 0    | false   | 0.00  |
            | one failure has little effect  | failed@0                                      | 0    | false   | 0.20  |
            | half of its requests fail      | failed@0 answered@0 failed@0 answered@0       | 0    | false   | 0.26  |
            | failures decay slowly          | failed@0 failed@0 failed@0                    | 4000 | false   | 0.24  |
            | no connection                  | unreachable@0                                 | 100  | true    | 0.00  |
            | no connection, after the pause | unreachable@0                                 | 300  | false   | 0.00  |
            | three times no connection      | unreachable@0 unreachable@300 unreachable@900 | 1500 | true    | 0.00  |
            | an answer unblocks the engine  | unreachable@0 unreachable@300 answered@900    | 901  | false   | 0.00  |
            | a path that opens again        | unreachable@0 unreachable@300 reached@310     | 311  | false   | 0.00  |
            | a full engine                  | shed@0                                        | 30   | true    | 0.00  |
