Feature: Engines that check no fences get orders of one host at a time

    # Guards against a former owner that orders on, since nothing behind it would reject its orders.
    Scenario Outline: <hosts> hosts, an owner is <trouble>
        Given <hosts> hosts in 3 failure domains that own 12 engines, which ignore fences
        When an owner is <trouble>
        Then no two hosts order an engine within 3000 ms of each other
        And no order has a fence below one before it
        And after <within> ms more each engine has taken orders again

        Examples:
            | hosts | trouble                                                     | within |
            | 6     | cut off from the store for 4500 ms                          | 500    |
            | 6     | cut off from the store for 7000 ms                          | 500    |
            | 6     | cut off from the store for 20000 ms                         | 500    |
            | 6     | cut off from the store and from other hosts for 7000 ms     | 1000   |
            | 6     | cut off from the store and from other hosts for 20000 ms    | 500    |
            | 6     | cut off from the store for 9000 ms, which drops its keys    | 500    |
            | 6     | cut off from all for 9000 ms, and the store drops its keys  | 500    |
            | 6     | frozen for 4000 ms                                          | 500    |
            | 6     | frozen for 9000 ms                                          | 500    |
            | 6     | suspended for 9000 ms                                       | 500    |
            | 6     | killed for good                                             | 5000   |
            | 6     | killed and started again after 3000 ms                      | 500    |
            | 6     | killed and started again after 9000 ms                      | 500    |
            | 6     | frozen for 8000 ms, and all hosts are started again         | 500    |
            | 6     | cut off from the store for 7000 ms, and its orders are late | 500    |
            | 6     | cut off from the store for 20000 ms with a slow clock       | 500    |
            | 86    | cut off from the store for 7000 ms                          | 500    |
            | 86    | cut off from the store and from other hosts for 20000 ms    | 500    |
            | 300   | cut off from the store for 7000 ms                          | 500    |

    # Guards against owners that stop while no host can take over: the store's outage is no cut of a host.
    Scenario Outline: The store is down for all hosts for <outage> ms, and for <share> for <longer> ms more
        Given 6 hosts in 3 failure domains that own 12 engines, which ignore fences
        When the store is silent for <outage> ms, and for <share> for <longer> ms more
        Then no two hosts order an engine within 3000 ms of each other
        And no order has a fence below one before it
        And engines took orders for <ordered> ms of the outage
        And after 15000 ms more each engine has taken orders again

        Examples:
            | outage | share      | longer | ordered |
            | 4500   | none of them | 0      | 4500    |
            | 7000   | none of them | 0      | 6000    |
            | 20000  | none of them | 0      | 6000    |
            | 5000   | half of them | 9000   | 5000    |

    # Guards against owners by a copy's claims: those after it are forgotten, and may still order.
    Scenario Outline: The store comes back from a copy <age> ms old, before which <change>, for <hosts> hosts
        Given <hosts> hosts in 3 failure domains that own 12 engines, which ignore fences
        When the store is away for <away> ms and comes back from a copy <age> ms old, since which <change>
        Then no two hosts order an engine within 3000 ms of each other
        And no order has a fence below one before it
        And after 500 ms more each engine has taken orders again

        Examples:
            | hosts | age   | away | change                                              |
            | 6     | 3000  | 1000 | nothing has changed                                 |
            | 6     | 8000  | 1000 | nothing has changed                                 |
            | 6     | 12000 | 1000 | an owner was killed                                 |
            | 6     | 12000 | 1000 | an owner was killed and started again               |
            | 6     | 12000 | 4000 | an owner was cut off from the store, and is for 3000 ms more |
            | 6     | 8000  | 1000 | all hosts have started again                        |
            | 86    | 8000  | 1000 | nothing has changed                                 |

    Scenario Outline: The store comes back from a copy several times, engines <check> fences
        Given 6 hosts in 3 failure domains that own 12 engines, which <check> fences
        When the store comes back from copies 5000 ms old, <times> times, each <apart> ms after the other
        Then no order has a fence below one before it
        And after 500 ms more each engine has taken orders again

        Examples:
            | check  | times | apart |
            | check  | 1     | 8000  |
            | check  | 3     | 6000  |
            | ignore | 3     | 9000  |

    # An owner that releases its engines hands them over at once, so that turns of two hosts may be close.
    Scenario: The store comes back from a copy that is older than an owner's stop
        Given 6 hosts in 3 failure domains that own 12 engines, which ignore fences
        When the store is away for 1000 ms and comes back from a copy 12000 ms old, since which an owner has stopped
        Then no order came while a former owner's could still be carried out
        And no order has a fence below one before it
        And after 500 ms more each engine has taken orders again

    # Guards against hosts that can't authenticate to those that start later.
    Scenario: A copy lacks the secret that hosts share
        Given 6 hosts in 3 failure domains that own 12 engines, which check fences
        When the store comes back from a copy that lacks the hosts' secret
        Then the store holds the secret of before again
