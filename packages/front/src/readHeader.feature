Feature: The first value of a header

    Scenario Outline: <case>
        Then readHeader of [<headers>, "x-a"] gives <value>

        Examples:
            | case                | headers                     | value     |
            | no headers          | []                          | undefined |
            | another header      | ["X-B","1"]                 | undefined |
            | the header          | ["X-B","1","X-A","2"]       | "2"       |
            | several values      | ["x-a","1","X-A","2"]       | "1"       |
            | an empty value      | ["x-a",""]                  | ""        |
            | the name as a value | ["x-b","x-a","x-c","3"]     | undefined |
