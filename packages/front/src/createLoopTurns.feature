Feature: A host that is behind in reading sends nothing on for clients that have left

    # Guards against work for clients that gave up while their requests waited to be read, as after a start under load.
    Scenario Outline: <count> clients send requests and <then>, and the host is busy for <busy> ms before it reads them
        Given a host that hands on the requests of clients
        When <count> clients send requests and <then>, and the host is busy for <busy> ms before it reads them
        Then it hands on <handed> of them

        Examples:
            | count | then  | busy | handed |
            | 1     | leave | 300  | 0      |
            | 40    | leave | 300  | 0      |
            | 40    | stay  | 300  | 40     |
            | 40    | stay  | 0    | 40     |

    Scenario Outline: The loop is behind <case>
        Given a loop whose check is due in 50 ms
        When <passed> ms pass in which the check <fires>
        Then the loop counts as <state>
        And <later> ms later, with checks on time, it counts as <after>

        Examples:
            | case                    | passed | fires         | state   | later | after   |
            | never                   | 120    | fires on time | on time | 10    | on time |
            | by a check that is due  | 160    | doesn't fire  | behind  | 10    | behind  |
            | by a check that is late | 160    | fires late    | behind  | 900   | behind  |
            | no longer               | 160    | fires late    | behind  | 1100  | on time |
