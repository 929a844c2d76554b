Feature: A changed settings file takes effect, and an invalid file changes nothing

    Scenario Outline: <case>
        Given settings with a stop limit of 8000 ms
        When the settings file <change> <how>
        Then the stop limit is <stop> ms and event <event> is logged <times>

        Examples:
            | case                       | change                    | how                | stop | event | times   |
            | a signal without a change  | is unchanged              | and SIGHUP arrives | 8000 | 108   | 1 time  |
            | a change and a signal      | sets a limit of 9000 ms   | and SIGHUP arrives | 9000 | 108   | 1 time  |
            | a change without a signal  | sets a limit of 9000 ms   | and 11 s pass      | 9000 | 108   | 1 time  |
            | an invalid file            | lacks the host name       | and SIGHUP arrives | 8000 | 109   | 1 time  |
            | the same, without a signal | lacks the host name       | and 11 s pass      | 8000 | 109   | 1 time  |
