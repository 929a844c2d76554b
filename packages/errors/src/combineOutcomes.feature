Feature: A request is reported as not run only if none of its attempts ran

    Scenario Outline: <case>
        Then combineOutcomes of <args> gives <result>

        Examples:
            | case                                        | args                        | result    |
            | nothing was sent                            | [[]]                        | "not_run" |
            | every attempt was refused                   | [["not_run", "not_run"]]    | "not_run" |
            | a lost attempt, then no place               | [["unknown", "not_run"]]    | "unknown" |
            | a refusal, then a lost attempt              | [["not_run", "unknown"]]    | "unknown" |
            | a broken answer, then a lost attempt        | [["ran", "unknown"]]        | "ran"     |
