Feature: A host learns which of its paths to engines are open

    # Guards against paths that are never probed, and so count as lost for good, where there are many engines.
    Scenario Outline: <engines> engines, of which nothing reaches a host that loses its paths
        Given a host before <engines> engines, none of which it reaches
        When 2 requests find no connection
        Then each engine is probed within <first ms> ms, and again every <again ms> ms

        Examples:
            | engines | first ms | again ms |
            | 2       | 400      | 1400     |
            | 42      | 800      | 1800     |
            | 82      | 1400     | 2400     |
            | 124     | 2000     | 3000     |
            | 300     | 4200     | 5200     |

    # Guards against paths that count as lost after they are back.
    Scenario Outline: The paths to <engines> engines are back, and no request uses them
        Given a host before <engines> engines, none of which it reaches
        When <engines> requests find no connection
        And the paths are back after 10000 ms
        Then no engine is suspect from <after ms> ms after that on

        Examples:
            | engines | after ms |
            | 42      | 1600     |
            | 124     | 3000     |
            | 300     | 5000     |
