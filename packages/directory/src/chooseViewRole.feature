Feature: The number of hosts that read the store grows with the failure domains, not with the hosts

    Scenario Outline: <hosts> hosts in <domains> failure domains
        Given <hosts> hosts in <domains> failure domains that choose their views' sources
        Then <readers> of them read the store, and each other one follows hosts of its own failure domain

        Examples:
            | hosts | domains | readers |
            | 6     | 4       | 6       |
            | 8     | 3       | 8       |
            | 30    | 5       | 10      |
            | 85    | 4       | 8       |
            | 195   | 5       | 10      |
            | 300   | 5       | 10      |
            | 1000  | 5       | 10      |

    Scenario Outline: <who> is not followed
        Given 30 hosts in 5 failure domains that choose their views' sources
        When <who> is among them
        Then no host follows it

        Examples:
            | who                              |
            | a host that leaves               |
            | a host of a former version       |
            | a host without a failure domain  |

    Scenario: One host that is gone changes the sources of its own failure domain only
        Given 195 hosts in 5 failure domains that choose their views' sources
        Then without any one of them the hosts of the other failure domains follow the same hosts as before

    # Guards against followed hosts whose links are too slow for the others' replies.
    Scenario Outline: <fast> hosts of each of <domains> failure domains have faster links
        Given <hosts> hosts in <domains> failure domains that choose their views' sources
        When <fast> of each failure domain have links of 140 Mbit/s, and the others of 7
        Then <readers> of them read the store, and each other one follows hosts of its own failure domain
        And <followed> hosts with faster links are followed

        Examples:
            | hosts | domains | fast | readers | followed |
            | 84    | 3       | 2    | 6       | 6        |
            | 84    | 3       | 1    | 6       | 3        |
            | 84    | 3       | 0    | 6       | 0        |
            | 195   | 5       | 2    | 10      | 10       |
            | 300   | 5       | 8    | 10      | 10       |
