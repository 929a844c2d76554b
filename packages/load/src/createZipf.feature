Feature: createZipf draws lower indices more often

    Scenario Outline: <case>
        Then createZipf of <args> gives <result>

        Examples:
            | case                         | args                          | result        |
            | three, uniform               | [3, 0, [0, 0.34, 0.67, 0.99]] | [0,1,2,2]     |
            | the first of two, two thirds | [2, 1, [0.6, 0.7]]            | [0,1]         |
            | a single index               | [1, 1, [0.5]]                 | [0]           |
