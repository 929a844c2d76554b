Feature: The load header's fourth number is used for a short time, against what an engine usually states

    Scenario Outline: <case>
        Given statements of <usual> percent, <times> times
        When it states <percent> percent
        Then its slowdown <age> ms later is <slowdown>

        Examples:
            | case                                     | usual | times | percent | age | slowdown |
            | the first statement                      | 100   | 0     | 250     | 0   | 2.5      |
            | a statement that is still used           | 100   | 20    | 250     | 150 | 2.5      |
            | a stale one                              | 100   | 20    | 250     | 151 | 1        |
            | an engine that always states too much    | 500   | 20    | 500     | 0   | 1        |
            | one that always states too little        | 20    | 20    | 20      | 0   | 1        |
            | a slow period of one that does           | 50    | 20    | 125     | 0   | 2.5      |
            | a long slow period is not usual          | 100   | 20    | 500     | 0   | 5        |
            | too few statements to know the usual one | 500   | 3     | 500     | 0   | 5        |
            | an impossible statement is bounded       | 100   | 20    | 1000000 | 0   | 8        |
            | a very low one too                       | 100   | 20    | 0.01    | 0   | 0.5      |
