Feature: createZipf draws the first most often

    Scenario Outline: <case>
        Then createZipf of <args> gives <result>

        Examples:
            | case                         | args                          | result        |
            | three alike                  | [3, 0, [0, 0.34, 0.67, 0.99]] | [0,1,2,2]     |
            | the first of two, two thirds | [2, 1, [0.6, 0.7]]            | [0,1]         |
            | only one                     | [1, 1, [0.5]]                 | [0]           |
