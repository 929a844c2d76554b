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
