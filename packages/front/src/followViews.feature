Feature: Few hosts read the store for all, and no fault of theirs keeps the others' views old

    # Guards against a store whose load grows with hosts times changes.
    Scenario Outline: <hosts> hosts in <domains> failure domains while <changes>
        Given <hosts> hosts in <domains> failure domains that follow the store, changes due within 4000 ms
        When <changes> for 10000 ms
        Then all hosts together have made at most <calls> calls a second to the store
        And each host's view is at most 4000 ms old

        Examples:
            | hosts | domains | changes                               | calls |
            | 30    | 5       | nothing changes                       | 20    |
            | 100   | 5       | nothing changes                       | 20    |
            | 300   | 5       | nothing changes                       | 20    |
            | 30    | 5       | an engine's entry changes each 100 ms | 60    |
            | 300   | 5       | an engine's entry changes each 100 ms | 60    |

    # Guards against a followed host that hears nothing, or is heard by nobody.
    Scenario Outline: <hosts> hosts, changes due within <apply> ms: <fault>
        Given <hosts> hosts in <domains> failure domains that follow the store, changes due within <apply> ms
        When <fault>
        And a configuration is accepted and an engine announces that it leaves
        Then both are in force <apply> ms later at each host that runs and reaches the store

        Examples:
            | hosts | domains | apply | fault                                                        |
            | 85    | 4       | 3000  | nothing fails                                                |
            | 85    | 4       | 3000  | the hosts that read the store are killed                     |
            | 85    | 4       | 3000  | the hosts that read the store are frozen                     |
            | 85    | 4       | 3000  | the hosts that read the store are cut off from the store     |
            | 85    | 4       | 3000  | the hosts that read the store are cut off from other hosts   |
            | 85    | 4       | 3000  | all followed hosts are killed                                |
            | 85    | 4       | 3000  | all followed hosts are frozen                                |
            | 85    | 4       | 3000  | all followed hosts are cut off from the store                |
            | 85    | 4       | 3000  | all followed hosts are cut off from other hosts              |
            | 85    | 4       | 3000  | no host reaches another one                                  |
            | 85    | 4       | 3000  | nine of ten hosts are killed                                 |
            | 195   | 5       | 4000  | all followed hosts are cut off from the store                |
            | 195   | 5       | 4000  | the hosts that read the store are frozen                     |
            | 195   | 5       | 4000  | no host reaches another one                                  |
            | 300   | 5       | 4000  | all followed hosts are cut off from the store                |

    # Guards against a view that is young enough for a configuration, but too old for an engine that leaves.
    Scenario Outline: <hosts> hosts, an engine's leaving due within <drain> ms, changes within <apply> ms: <fault>
        Given <hosts> hosts in <domains> failure domains, changes due within <apply> ms, an engine's leaving within <drain> ms
        When <fault>
        And a configuration is accepted and an engine announces that it leaves
        Then both are in force <drain> ms later at each host that runs and reaches the store

        Examples:
            | hosts | domains | apply | drain | fault                                         |
            | 8     | 1       | 6000  | 2400  | all followed hosts are cut off from the store |
            | 8     | 1       | 6000  | 3000  | all followed hosts are cut off from the store |
            | 86    | 4       | 6000  | 3000  | all followed hosts are cut off from the store |
            | 86    | 4       | 6000  | 3000  | all followed hosts are frozen                 |
            | 300   | 5       | 6000  | 4000  | all followed hosts are cut off from the store |

    Scenario Outline: The store <fault>, and each of <hosts> hosts knows the next change in time
        Given <hosts> hosts in <domains> failure domains that follow the store, changes due within <apply> ms
        When the followed store <fault>
        And 4000 ms pass in the fleet
        And a configuration is accepted and an engine announces that it leaves
        Then both are in force <apply> ms later at each host that runs and reaches the store

        Examples:
            | hosts | domains | apply | fault                             |
            | 85    | 4       | 3000  | answers nothing for 2500 ms       |
            | 85    | 4       | 3000  | answers nothing for 10000 ms      |
            | 85    | 4       | 3000  | forgets its history               |
            | 8     | 4       | 3000  | comes back from a copy 8000 ms old |
            | 85    | 4       | 3000  | comes back from a copy 8000 ms old |
            | 195   | 5       | 4000  | comes back from a copy 8000 ms old |
            | 300   | 5       | 4000  | comes back from a copy 8000 ms old |
            | 195   | 5       | 4000  | answers nothing for 10000 ms      |
            | 195   | 5       | 4000  | forgets its history               |

    # Guards against lists by all hosts at once, after each of them has noticed by itself that the store is back.
    Scenario Outline: <hosts> hosts don't all list the store's keys after its return
        Given <hosts> hosts in <domains> failure domains that follow the store, changes due within <apply> ms
        When the followed store comes back from a copy 8000 ms old
        Then within 3000 ms all hosts have made at most <lists> lists in any 100 ms

        Examples:
            | hosts | domains | apply | lists |
            | 85    | 4       | 3000  | 85    |
            | 195   | 5       | 4000  | 195   |

    # Guards against a view that goes back when its source changes.
    Scenario: No view goes back while followed hosts come and go
        Given 40 hosts in 4 failure domains that follow the store, changes due within 3000 ms
        Then in 12 random sequences of cuts and freezes no host's configuration goes back

    # Guards against hosts whose configuration stays old while the store turns them away and serves others (DENIED, CONFIG).
    Scenario Outline: <hosts> hosts, changes due within <apply> ms: the store <fault> <which>
        Given <hosts> hosts in <domains> failure domains that follow the store, changes due within <apply> ms
        When the store <fault> <which>
        And a configuration is accepted and an engine announces that it leaves
        Then both are in force <bound> ms later at each host that runs

        Examples:
            | hosts | domains | apply | bound | fault         | which                |
            | 6     | 3       | 2000  | 7000  | turns away    | a third of the hosts |
            | 8     | 4       | 2000  | 7000  | turns away    | all hosts but one    |
            | 8     | 4       | 2000  | 7000  | is silent for | a third of the hosts |
            | 86    | 4       | 3000  | 9000  | turns away    | a third of the hosts |
            | 86    | 4       | 3000  | 9000  | turns away    | all followed hosts   |
            | 86    | 4       | 3000  | 9000  | turns away    | all hosts but one    |
            | 86    | 4       | 3000  | 9000  | is silent for | all hosts but one    |
            | 195   | 5       | 4000  | 12000 | turns away    | all followed hosts   |
            | 300   | 5       | 4000  | 12000 | turns away    | a third of the hosts |
            | 300   | 5       | 4000  | 12000 | is silent for | all hosts but one    |

    # Guards against hosts that ask each other for what none of them can know.
    Scenario Outline: The store is silent for all of <hosts> hosts
        Given <hosts> hosts in <domains> failure domains that follow the store, changes due within <apply> ms
        When the store is silent for all hosts
        And 10000 ms pass in the fleet
        Then each host has asked other hosts at most <asks> times a second

        Examples:
            | hosts | domains | apply | asks |
            | 8     | 4       | 2000  | 3    |
            | 86    | 4       | 3000  | 3    |
            | 300   | 5       | 4000  | 3    |

    # Guards against a large configuration that fills the links of followed hosts, so that others hear of no engine (DRAIN).
    Scenario Outline: <hosts> hosts, <fast> of each failure domain with fast links: <versions> configurations of <kb> KB
        Given <hosts> hosts in <domains> failure domains, <fast> of each with links of 140 Mbit/s and the others of 7
        When <versions> configurations of <kb> KB are accepted, one each 500 ms, and an engine announces that it leaves
        Then both are in force 3000 ms later at each host that runs

        Examples:
            | hosts | domains | fast | versions | kb  |
            | 84    | 3       | 2    | 1        | 300 |
            | 84    | 3       | 2    | 8        | 600 |
            | 84    | 3       | 2    | 1        | 900 |
            | 84    | 3       | 0    | 1        | 600 |
            | 84    | 3       | 0    | 8        | 100 |
            | 84    | 3       | 0    | 1        | 900 |
            | 84    | 3       | 0    | 8        | 600 |
            | 195   | 5       | 2    | 1        | 900 |
            | 300   | 5       | 2    | 8        | 300 |

    # Guards against helpers whose replies are given up halfway.
    Scenario Outline: The store turns away <which>, and a configuration of <kb> KB comes over slow links
        Given <hosts> hosts in <domains> failure domains, 2 of each with links of 140 Mbit/s and the others of 7
        When the store turns away <which>
        And 1 configurations of <kb> KB are accepted, one each 1000 ms, and an engine announces that it leaves
        Then both are in force 9000 ms later at each host that runs

        Examples:
            | hosts | domains | which                | kb  |
            | 84    | 3       | a third of the hosts | 300 |
            | 84    | 3       | a third of the hosts | 900 |
            | 84    | 3       | all followed hosts   | 900 |

    # Guards against hosts that read urgent, small values from the store, because many of them together are large.
    Scenario Outline: <hosts> hosts on slow links while the entries of <engines> engines change all the time
        Given <hosts> hosts in <domains> failure domains, 0 of each with links of 140 Mbit/s and the others of 7
        When the entries of <engines> engines change each 1200 ms for 6000 ms
        Then all hosts together have made at most <calls> calls a second to the store

        Examples:
            | hosts | domains | engines | calls |
            | 86    | 3       | 45      | 60    |
            | 300   | 5       | 45      | 60    |
