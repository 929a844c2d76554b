Feature: The usual time between two events is one without other prompts being read

    Scenario Outline: <case>
        Then summarizeGaps of <args> gives <result>

        Examples:
            | case                                         | args                              | result    |
            | no gaps                                      | [[]]                              | undefined |
            | one gap                                      | [[22]]                            | 22        |
            | prompts are read in most of the gaps         | [[75, 22, 75, 74, 22, 75, 75, 22, 75, 75]] | 22 |
            | one early event, after one that was held up  | [[22, 22, 43, 1, 22, 22]]         | 22        |
