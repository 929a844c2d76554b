Feature: Clients that are refused while all engines pause are told to return after the pause, one after the other

    # Guards against a burst of clients at the end of a pause, and against urgent ones that return behind the others.
    Scenario Outline: <case>
        Then clients of the priorities "<priorities>" that are refused at 0 ms, with engines that open at <opens> ms, return after "<returns>"

        Examples:
            | case                         | priorities | opens | returns             |
            | one client                   | 0          | 2000  | 2000                |
            | clients of one priority      | 1 1 1      | 2000  | 2000 2040 2080      |
            | an urgent one behind others  | 1 1 0      | 2000  | 2000 2040 2000      |
            | others behind urgent ones    | 0 0 1      | 2000  | 2000 2040 2080      |
            | engines that have opened     | 0 1        | 0     | 0 40                |

    # Guards against clients that are kept away long after the engines have opened.
    Scenario: A thousand clients of two priorities return within 1500 ms, none before the pause has ended
        Then 1000 clients of 2 priorities that are refused at 0 ms, with engines that open at 2000 ms, return between 2000 and 3500 ms
        And at most 28 of them return in one moment
