Feature: Engines are assigned to hosts evenly, and every engine ranks all hosts

    Scenario Outline: <engines> engines on <hosts> hosts
        Given owners assigned for <engines> engines on <hosts> hosts
        Then no host owns more than <most> engines
        And each engine has <hosts> hosts in its order

        Examples:
            | engines | hosts | most |
            | 6       | 6     | 1    |
            | 6       | 8     | 1    |
            | 42      | 84    | 1    |
            | 9       | 4     | 3    |
            | 5       | 1     | 5    |
            | 5       | 0     | 0    |
