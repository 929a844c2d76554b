Feature: The time after which a refused request may be sent again

    Scenario Outline: <case>
        Then readRetryAfterMs of [<headers>] gives <ms>

        Examples:
            | case                    | headers                              | ms        |
            | no such header          | ["Content-Length","2"]               | undefined |
            | whole seconds           | ["Retry-After","2"]                  | 2000      |
            | a fraction of a second  | ["a","b","retry-after","0.030"]      | 30        |
            | no time                 | ["Retry-After","0.000"]              | 0         |
            | blanks around it        | ["Retry-After"," 1 "]                | 1000      |
            | the first of several    | ["Retry-After","1","Retry-After","2"] | 1000      |
            | a date                  | ["Retry-After","Fri, 04 Dec 2026 16:00:00 GMT"] | undefined |
            | a negative number       | ["Retry-After","-1"]                 | undefined |
            | an empty value          | ["Retry-After",""]                   | undefined |
            | a word                  | ["Retry-After","Infinity"]           | undefined |
            | the name as a value     | ["a","Retry-After","b","1"]          | undefined |
