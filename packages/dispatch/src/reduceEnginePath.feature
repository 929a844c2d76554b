Feature: A host remembers on which paths to engines it gets nothing

    Scenario Outline: <case>
        Then after <messages> the path is suspect at <at> ms since "<since>"

        Examples:
            | case                                      | messages                                | at   | since |
            | nothing was sent                          |                                         | 5000 |       |
            | a request without an answer yet           | sent@0                                  | 900  |       |
            | a request without an answer               | sent@100                                | 1100 | 100   |
            | bytes after it                            | sent@100 heard@200                      | 5000 |       |
            | a request after bytes                     | sent@100 heard@200 sent@3000            | 4000 | 3000  |
            | the oldest of several counts              | sent@100 sent@900                       | 1100 | 100   |
            | a failed connection                       | unreachable@50                          | 50   | 50    |
            | a failed connection while others answer   | unreachable@50 heard@60                 | 70   |       |
            | an exchange that broke without a byte     | sent@0 broken@20 withdrawn@20           | 30   | 20    |
            | bytes after it                            | broken@20 heard@40                      | 50   |       |
            | the first failure counts                  | unreachable@50 unreachable@700          | 900  | 50    |
            | a failure after a silence                 | sent@0 unreachable@1200                 | 1300 | 0     |
            | a client that left early says nothing     | sent@0 withdrawn@300                    | 5000 |       |
            | a client that left late leaves evidence   | sent@0 withdrawn@1000                   | 5000 | 0     |
            | a withdrawn request beside a failure      | sent@0 unreachable@20 withdrawn@300     | 5000 | 20    |
