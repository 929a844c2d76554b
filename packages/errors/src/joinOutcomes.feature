Feature: A request did not run only where none of its attempts did

    Scenario Outline: <case>
        Then joinOutcomes of <args> gives <result>

        Examples:
            | case                                        | args                        | result    |
            | nothing was sent                            | [[]]                        | "not_run" |
            | every attempt was refused                   | [["not_run", "not_run"]]    | "not_run" |
            | a lost attempt, then no place               | [["unknown", "not_run"]]    | "unknown" |
            | a refusal, then a lost attempt              | [["not_run", "unknown"]]    | "unknown" |
            | a broken answer, then a lost attempt        | [["ran", "unknown"]]        | "ran"     |
