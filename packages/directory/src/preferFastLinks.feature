Feature: Hosts with faster links come first

    Scenario Outline: links of <rates> Mbit/s
        Then preferFastLinks of <rates> gives the order <order>

        Examples:
            | rates     | order |
            | 7,7,7     | 0,1,2 |
            | 7,140,7   | 1,0,2 |
            | -,7,140   | 2,1,0 |
            | -,-,7,-   | 2,0,1,3 |
            | 140,7,140 | 0,2,1 |
