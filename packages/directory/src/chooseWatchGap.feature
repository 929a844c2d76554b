Feature: Watches of many hosts call the store no more often than those of a few

    Scenario Outline: <hosts> hosts
        Then the pause of a watch with <hosts> hosts is <gap> ms, and at most <calls> calls a second come from all

        Examples:
            | hosts | gap  | calls |
            | 0     | 350  | 0     |
            | 8     | 350  | 23    |
            | 30    | 540  | 56    |
            | 84    | 1500 | 56    |
            | 300   | 1500 | 200   |
