Feature: Hosts know at which services of a route a stream can have begun

    # Guards against a stream that goes on at another service than the one that began it, as the route has changed since.
    Scenario Outline: <case>
        Given a route to "<targets>" with the rules "<rules>" on record
        When the possible services of 200 streams are listed, <id>
        Then they have <most> services at most, and that which the route gave <former> among them

        Examples:
            | case                             | targets   | rules             | id         | most | former    |
            | one service                      | a:1       | a:1               | by id      | 1    | a:1       |
            | one service, nothing on record   | a:1       | none              | by id      | 1    | a:1       |
            | a split route                    | a:90 b:10 | a:90 b:10         | by id      | 1    | a:90 b:10 |
            | the client names no request      | a:90 b:10 | a:90 b:10         | without id | 2    | a:90 b:10 |
            | a split route, nothing on record | a:90 b:10 | none              | by id      | 2    | a:10 b:90 |
            | the weights have just changed    | a:10 b:90 | a:90 b:10         | by id      | 2    | a:90 b:10 |
            | the weights have changed         | a:10 b:90 | a:10 b:90 / a:90 b:10 | by id  | 2    | a:90 b:10 |
            | the route has moved              | b:1       | b:1 / a:1         | by id      | 2    | a:1       |
            | the first rule, not settled      | a:90 b:10 | a:90 b:10 / unknown | by id    | 2    | a:10 b:90 |
