Feature: retainAnswer

    Scenario Outline: The newest answers are retained within the size limit
        Then retainAnswer of <args> gives <result>

        Examples:
            | args                                        | result        |
            | [[], "n1", 10, 100]                         | ["n1"]        |
            | [["n1"], "n1", 10, 100]                     | ["n1"]        |
            | [["n1", "n2"], "n3", 10, 300]               | ["n1","n2","n3"] |
            | [["n1", "n2"], "n3", 10, 220]               | ["n2","n3"]   |
            | [["n1"], "n2", 500, 220]                    | ["n1"]        |
