Feature: formatTable formats rows of cells as lines with aligned columns

    Scenario Outline: formatTable of <args>
        Then formatTable of <args> gives <result>

        Examples:
            | args                                 | result                      |
            | [[["NAME","V"],["levy","7"]]]        | ["NAME  V","levy  7"]       |
            | [[["N","VERSION"],["levy",""]]]      | ["N     VERSION","levy"]    |
            | [[]]                                 | []                          |
