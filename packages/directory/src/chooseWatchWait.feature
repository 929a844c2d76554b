Feature: A watch waits as long as the bound on the age of its keys allows

    Scenario Outline: calls <interval> ms apart, changes noticed within <age> ms
        Then a watch with an interval of <interval> ms and a bound of <age> ms waits <wait> ms at the store
        And while nothing changes <hosts> hosts with such a watch make at most <calls> calls a second

        Examples:
            | interval | age    | wait  | hosts | calls |
            | 60       | 3000   | 1540  | 8     | 5     |
            | 350      | 3000   | 1250  | 8     | 5     |
            | 1500     | 3000   | 100   | 86    | 54    |
            | 516      | 3000   | 1084  | 86    | 54    |
            | 1500     | 3000   | 100   | 300   | 188   |
            | 60       | 3000   | 1540  | 300   | 188   |
            | 1500     | 2000   | 100   | 8     | 5     |
            | 60       | 100000 | 30000 | 8     | 1     |
