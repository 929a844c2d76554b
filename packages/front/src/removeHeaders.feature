Feature: Headers are removed by their names

    Scenario Outline: <case>
        Then removeHeaders of [<headers>, ["x-a", "x-b"]] gives <rest>

        Examples:
            | case                | headers                           | rest                  |
            | no headers          | []                                | []                    |
            | other headers       | ["X-C","1","X-D","2"]             | ["X-C","1","X-D","2"] |
            | both, one twice     | ["X-A","1","X-C","2","x-b","3","x-A","4"] | ["X-C","2"]   |
            | a name as a value   | ["X-C","x-a","X-D","x-b"]         | ["X-C","x-a","X-D","x-b"] |
