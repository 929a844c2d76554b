Feature: An engine's owner loads what requests wait for and never more than the engine holds

    Scenario Outline: <case>
        Given an owner of 3 places at order 4 with <residents> and wants <wants>
        Then the owner's next step at 1000 ms is "<step>"

        Examples:
            | case                                              | residents                          | wants                     | step           |
            | nothing is wanted                                 | x y                                |                           |                |
            | a free place                                      | x y                                | a                         | load a         |
            | no free place: the least used makes way           | x,demand=5 y,demand=1 z,demand=3   | a                         | unload y       |
            | the least used runs requests                      | x,demand=5 y,demand=1,used z,demand=3 | a                      | unload z       |
            | all run requests                                  | x,used y,used z,used               | a                         |                |
            | a place just filled for a request                 | x,used y,used z,since=900          | a                         |                |
            | it is there                                       | x y a                              | a                         |                |
            | it is on its way                                  | x y a,loading                      | a                         |                |
            | an older version, idle: replaced in its place     | x y a,version=1                    | a,version=2               | load a@2       |
            | an older version in use is left alone             | x y a,version=1,used               | a,version=2               |                |
            | the one with the least time left goes first       | x y                                | a,due=1500 b,due=1200     | load b         |
            | what is late goes after what can be on time       | x y                                | a,due=900 b,due=1900      | load b         |
            | a request that has ended wants nothing            | x y                                | a,until=900               |                |
            | an adapter in use that the engine no longer lists keeps its place | x y z,unlisted,used | a       | unload x       |
            | the same once its requests have ended             | x y z,unlisted                     | a                         | load a         |
            | an unload that waits for requests is looked after | x y z,leaving                      |                           | read report    |

    Scenario: An order without an answer is given again on the same count of orders
        Given an owner of 3 places at order 4 with x and wants a
        When the owner's step at 1000 ms has the answer "unknown"
        Then the owner's next step at 1001 ms is "load a"
        And the owner counts 4 orders

    Scenario: After a conflict the owner reads a report that is younger than its orders
        Given an owner of 3 places at order 4 with x and wants a
        When the owner's step at 1000 ms has the answer "conflict"
        Then the owner's next step at 1100 ms is ""
        And the owner's next step at 1300 ms is "read report"

    Scenario: Orders that are lost, late or answered never load an engine beyond its places
        Then 300 seeded walks of 120 steps over a model engine of 4 places keep it within them
