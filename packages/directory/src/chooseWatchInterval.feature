Feature: The watch interval grows with the number of hosts to limit the load on the store

    Scenario Outline: <hosts> hosts
        Then the watch interval with <hosts> hosts is <interval> ms, and all hosts make at most <calls> calls a second

        Examples:
            | hosts | interval | calls |
            | 0     | 350      | 0     |
            | 8     | 350      | 23    |
            | 30    | 540      | 56    |
            | 84    | 1500     | 56    |
            | 300   | 1500     | 200   |
