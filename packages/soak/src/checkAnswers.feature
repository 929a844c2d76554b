Feature: checkAnswers compares the answers of clients and the runs on engines with the guarantees

    Scenario Outline: <case>
        Given a "<kind>" soak request that ran <runs>
        When its client received <answer>
        Then the soak reports "<violation>"

        Examples:
            | case                                     | kind      | runs                 | answer            | violation |
            | a complete answer                        | streaming | once on a1 version 2 | 200 whole         |           |
            | a stream with an event missing           | streaming | once on a1 version 2 | 200 with a gap    | MIXED     |
            | an answer without the engine's signature | streaming | once on a1 version 2 | 200 unproved      | MIXED     |
            | a stream of two software versions        | streaming | once on a1 version 2 | 200 mixed         | ORDER     |
            | a stream that was resumed                | streaming | once on a1 version 2 | 200 resumed       |           |
            | a stream that was resumed at another     | streaming | once on a1 version 2 | 200 resumed mixed | ORDER     |
            | an answer that ended early               | streaming | once on a1 version 2 | 200 cut           |           |
            | a run on another adapter                 | streaming | once on a2 version 2 | 200 whole         | ADAPTER   |
            | a run on an older version                | streaming | once on a1 version 1 | 200 whole         | VERSION   |
            | an order that ran twice                  | unsafe    | twice                | 504               | TWICE     |
            | an order reported as not run that ran    | unsafe    | once                 | 503               | REFUSED   |
            | an order with an unknown outcome         | unsafe    | once                 | 504               |           |
            | a lookup that ran twice                  | safe      | twice                | 200 whole         |           |
            | a run of a request that no client sent   | safe      | under another id     | 503               | UNASKED   |
