Feature: A stopping host takes only what ends before it does

    Scenario Outline: <case>
        Then canFinishBeforeStop of [<args>] gives <result>

        Examples:
            | case                                    | args                     | result |
            | a stream just after the signal          | "streaming", 15000, 7400 | true   |
            | a stream long after the signal          | "streaming", 15000, 2300 | false  |
            | a stream with a short timeout           | "streaming", 2000, 2300  | true   |
            | a plain call long after the signal      | "unsafe", 800, 2300      | true   |
            | a plain call at the end                 | "safe", 800, 700         | false  |
