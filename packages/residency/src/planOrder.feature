Feature: An owner loads the adapters that requests wait for and never exceeds the engine's adapter slots

    Scenario Outline: <case>
        Given an owner with 3 adapter slots, order count 4, adapters <residents> and load requests <requests>
        Then the owner's next step at 1000 ms is "<step>"

        Examples:
            | case                                                | residents                             | requests              | step        |
            | no load requests                                    | x y                                   |                       |             |
            | a free slot                                         | x y                                   | a                     | load a      |
            | no free slot: the least used adapter is evicted     | x,demand=5 y,demand=1 z,demand=3      | a                     | unload y    |
            | the least used adapter runs requests                | x,demand=5 y,demand=1,used z,demand=3 | a                     | unload z    |
            | all adapters run requests                           | x,used y,used z,used                  | a                     |             |
            | an adapter just loaded for a request stays          | x,used y,used z,since=900             | a                     |             |
            | the adapter is loaded                               | x y a                                 | a                     |             |
            | the adapter is being loaded                         | x y a,loading                         | a                     |             |
            | an idle older version is replaced in its slot       | x y a,version=1                       | a,version=2           | load a@2    |
            | an older version in use is not replaced             | x y a,version=1,used                  | a,version=2           |             |
            | the request with the least time left goes first     | x y                                   | a,due=1500 b,due=1200 | load b      |
            | late requests go after those that can be on time    | x y                                   | a,due=900 b,due=1900  | load b      |
            | an expired load request is ignored                  | x y                                   | a,until=900           |             |
            | an unlisted adapter in use keeps its slot           | x y z,unlisted,used                   | a                     | unload x    |
            | an unlisted adapter without requests frees its slot | x y z,unlisted                        | a                     | load a      |
            | an unload that waits for requests is checked        | x y z,leaving                         |                       | read report |

    Scenario: An order without a reply is sent again with the same expected count of orders
        Given an owner with 3 adapter slots, order count 4, adapters x and load requests a
        When the owner's step at 1000 ms gets the reply "unknown"
        Then the owner's next step at 1001 ms is "load a"
        And the owner's order count is 4

    Scenario: After a conflict the owner reads a report that is newer than its orders
        Given an owner with 3 adapter slots, order count 4, adapters x and load requests a
        When the owner's step at 1000 ms gets the reply "conflict"
        Then the owner's next step at 1100 ms is ""
        And the owner's next step at 1300 ms is "read report"

    Scenario: Lost, late and answered orders never exceed an engine's adapter slots
        Then 300 seeded simulations of 120 steps on an engine of 4 adapter slots never exceed them
