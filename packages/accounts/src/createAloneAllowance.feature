Feature: Decisions of a host that reaches no granter

    # Guards against hosts that each let everything through while they are cut off, and against ones that refuse all.
    Scenario Outline: <asked> requests of <cost> a second at one of <hosts> hosts, of which granters admitted <share> in 100
        When a host of <hosts> decides alone for <seconds> s on <asked> requests of <cost> tokens a second at a limit of 29000, and granters admitted <share> in 100 before
        Then it admits between <least> and <most> requests

        Examples:
            | hosts | asked | cost  | share | seconds | least | most |
            | 86    | 1     | 3000  | 100   | 4       | 4     | 4    |
            | 86    | 1     | 51000 | 100   | 4       | 2     | 2    |
            | 86    | 20    | 3000  | 100   | 4       | 4     | 6    |
            | 86    | 20    | 3000  | 0     | 4       | 0     | 0    |
            | 6     | 10    | 1000  | 100   | 4       | 36    | 44   |
            | 6     | 10    | 1000  | 25    | 4       | 5     | 18   |
            | 86    | 1     | 3000  | 100   | 9       | 4     | 4    |

    # Guards against a host that has just started and refuses an account's second request, far below its limit.
    Scenario Outline: The first requests at one of <hosts> hosts that has just started: <count> of <cost> tokens at once
        When a host of <hosts> that has just started decides alone on <count> requests of <cost> tokens at a limit of 29000
        Then it admits between <admitted> and <admitted> requests

        Examples:
            | hosts | count | cost | admitted |
            | 6     | 5     | 900  | 5        |
            | 6     | 9     | 900  | 7        |
            | 86    | 3     | 300  | 3        |
            | 86    | 9     | 3000 | 2        |
