Feature: A host that the store turns away asks the other hosts, and each host asks them in another order

    Scenario Outline: <hosts> hosts, of which one leaves and one has a former version
        Given <hosts> hosts that may need each other's help, one that leaves and one of a former version
        Then each of them may ask each other one, but neither itself nor those two
        And no host is the first choice of more than <most> others

        # With n hosts, the fullest of n random choices has about ln n / ln ln n of them.
        Examples:
            | hosts | most |
            | 8     | 6    |
            | 86    | 9    |
            | 300   | 10   |
