Feature: An engine may be silent for half of the time that the client waits

    Scenario Outline: <case>
        Then chooseSilenceLimit of [<goal>] gives <result>

        Examples:
            | case                              | goal | result |
            | the shortest patience of a client | 121  | 1000   |
            | a goal that makes it longer       | 800  | 1600   |
            | a long goal                       | 1000 | 2000   |
