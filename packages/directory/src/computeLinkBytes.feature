Feature: What a link carries in a time follows from its rate

    Scenario Outline: <mbps> Mbit/s
        Then computeLinkBytes of <mbps> in <ms> ms is <bytes>

        Examples:
            | mbps      | ms  | bytes    |
            | 7         | 300 | 262500   |
            | 140       | 300 | 5250000  |
            | 1000      | 8   | 1000000  |
            | undefined | 300 | Infinity |
