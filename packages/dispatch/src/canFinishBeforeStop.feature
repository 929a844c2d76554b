Feature: A stopping host accepts only requests that end before it stops

    Scenario Outline: <case>
        Then canFinishBeforeStop of [<args>] gives <result>

        Examples:
            | case                                    | args                     | result |
            | a stream just after the signal          | "streaming", 15000, 7400 | true   |
            | a stream long after the signal          | "streaming", 15000, 2300 | false  |
            | a stream with a short timeout           | "streaming", 2000, 2300  | true   |
            | a plain request long after the signal   | "unsafe", 800, 2300      | true   |
            | a plain request shortly before the stop | "safe", 800, 700         | false  |
