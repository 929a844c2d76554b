Feature: A request is charged to its account once, and only if it may have run

    # Guards against requests that are charged at each host that serves them, or although nothing ran.
    Scenario Outline: A request <from> that ends as <end>
        When a request <from> within its limit ends as <end>
        Then it has been charged <charged> times and its cost returned <returned> times

        Examples:
            | from              | end                   | charged | returned |
            | of a client       | an answer             | 1       | 0        |
            | of a client       | a stream              | 1       | 0        |
            | of a client       | an answer of not run  | 1       | 1        |
            | of a client       | not run               | 1       | 1        |
            | of a client       | unknown               | 1       | 0        |
            | of a client       | a defect              | 1       | 0        |
            | of another host   | an answer             | 0       | 0        |
            | of another host   | not run               | 0       | 0        |
            | without a limit   | not run               | 0       | 0        |
            | without account   | not run               | 0       | 0        |

    # Guards against a request beyond the limit that reaches an engine.
    Scenario: A request beyond the limit is not run
        When a request of a client beyond its limit arrives
        Then it is refused for 700 ms and has not been sent
