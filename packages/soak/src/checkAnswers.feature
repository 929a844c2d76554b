Feature: What clients and engines saw is held against the promises

    Scenario Outline: <case>
        Given a "<kind>" soak request that ran <runs>
        When its client got <answer>
        Then the soak says "<verdict>"

        Examples:
            | case                                      | kind      | runs                   | answer            | verdict |
            | a whole answer                            | streaming | once on a1 version 2   | 200 whole         |         |
            | a stream with an event missing            | streaming | once on a1 version 2   | 200 with a gap    | MIXED   |
            | an answer without the engine's proof      | streaming | once on a1 version 2   | 200 unproved      | MIXED   |
            | an answer that does not look complete     | streaming | once on a1 version 2   | 200 cut           |         |
            | another adapter                           | streaming | once on a2 version 2   | 200 whole         | ADAPTER |
            | an older version                          | streaming | once on a1 version 1   | 200 whole         | VERSION |
            | an order that ran twice                   | unsafe    | twice                  | 504               | TWICE   |
            | an order that is called not run and ran   | unsafe    | once                   | 503               | REFUSED |
            | an order whose end is open                | unsafe    | once                   | 504               |         |
            | a lookup that ran twice                   | safe      | twice                  | 200 whole         |         |
            | something that nobody sent                | safe      | under another id       | 503               | UNASKED |
