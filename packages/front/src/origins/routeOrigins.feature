Feature: Where a route's streams began is known after a loss of all hosts

    # Guards against a stream that goes on at another service than the one that began it, since the weights of its route
    # have changed and no host is left that knows where it began.
    Scenario Outline: After a loss of all hosts, one software version, <case>
        Given 8 hosts and engines of the versions "v1 v1"
        And the route leads to "<before>" by the rules "<rules>" on record
        And 40 streams begin
        And the route leads to "<after>" by the rules "<later>" on record
        And <ms> ms pass, and all hosts lose power
        When the clients resume these streams at every other host
        Then at least <known> in 100 are known, each where it began

        Examples:
            | case                                | before                   | rules                    | after                    | later                                               | ms   | known |
            | a split route                       | models:50 others:50      | models:50 others:50      | models:50 others:50      | models:50 others:50                                 | 0    | 100   |
            | its weights have changed            | models:90 others:10      | models:90 others:10      | models:10 others:90      | models:10 others:90 / models:90 others:10           | 1000 | 100   |
            | its weights have just changed       | models:90 others:10      | models:90 others:10      | models:10 others:90      | models:90 others:10                                 | 0    | 0     |
            | streams began before the new rule   | models:90 others:10      | models:10 others:90      | models:90 others:10      | models:90 others:10 / models:10 others:90           | 1000 | 100   |
            | the route has moved                 | models:100               | models:100               | others:100               | others:100 / models:100                             | 1000 | 100   |
            | nothing was on record               | models:50 others:50      | none                     | models:50 others:50      | models:50 others:50 / unknown                       | 1000 | 100   |
            | nothing is on record                | models:50 others:50      | none                     | models:50 others:50      | none                                                | 0    | 0     |

    # Guards against streams that can't be resumed after all hosts were lost in an outage of the store, since they began
    # without a record. None may go on at another version than its own.
    Scenario Outline: After a loss of all hosts in an outage, two software versions, <case>
        Given <hosts> hosts and engines of the versions "v1 v2"
        And the route leads to "models:1" by the rules "<rules>" on record
        And the store is <store>
        And <streams> streams begin at engines of both versions, 10 ms apart
        And the route leads to "models:1" by the rules "<later>" on record
        And 0 ms pass, and all hosts lose power
        And the store is <then>
        When the clients resume these streams at every other host
        Then at least <known> in 100 are known, each where it began
        And the events were held for at most <held> ms in all

        Examples:
            | case                                 | hosts | store     | then    | rules                              | later                                                             | streams | known | held   |
            | the store away                       | 6     | silent    | serving | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3]                                               | 120     | 100   | 30000  |
            | the store rejecting                  | 6     | rejecting | serving | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3]                                               | 120     | 100   | 30000  |
            | the store away, many hosts           | 86    | silent    | serving | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3]                                               | 120     | 100   | 30000  |
            | the store away, a large deployment   | 300   | silent    | serving | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3]                                               | 120     | 100   | 60000  |
            | a store that answers                 | 6     | serving   | serving | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3]                                               | 120     | 100   | 14400  |
            | few engines of one version           | 6     | silent    | serving | models:1[v1=9,v2=1]                | models:1[v1=9,v2=1]                                               | 120     | 100   | 30000  |
            | nothing on record                    | 6     | silent    | serving | none                               | none                                                              | 120     | 0     | 30000  |
            | nothing on record before             | 6     | silent    | serving | none                               | models:1[v1=3,v2=3] / unknown                                     | 120     | 0     | 30000  |
            | rules that haven't settled           | 6     | silent    | serving | models:1[v1=3,v2=3] / unknown      | models:1[v1=3,v2=3] / unknown                                     | 120     | 0     | 30000  |
            | a version that has just come         | 6     | silent    | serving | models:1[v1=3,v2=3] / models:1[v1=3] | models:1[v1=3,v2=3] / models:1[v1=3]                            | 120     | 40    | 30000  |
            | the shares change after the outage   | 6     | silent    | serving | models:1[v1=3,v2=3]                | models:1[v1=1,v2=5] / models:1[v1=3,v2=3]                         | 120     | 60    | 30000  |
            | a third version after the outage     | 6     | silent    | serving | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3,v3=3] / models:1[v1=3,v2=3]                    | 120     | 50    | 30000  |
            | the route has moved after the outage | 6     | silent    | serving | models:1[v1=3,v2=3]                | others:1[v1=3] / models:1[v1=3,v2=3]                              | 120     | 0     | 30000  |
            | the store away after the loss        | 6     | serving   | silent  | models:1[v1=3,v2=3]                | models:1[v1=3,v2=3]                                               | 120     | 0     | 14400  |
            | the store back from a copy           | 6     | serving, a copy of before follows | serving | models:1[v1=3,v2=3] | models:1[v1=3,v2=3] / unknown                            | 120     | 0     | 14400  |

    # Guards against a service all of whose new streams are refused in an outage, since its engines were replaced just
    # before.
    Scenario Outline: In an outage, the rules "<rules>", streams of engines of "<engines>" begin at <begin>
        Given 6 hosts and engines of the versions "<engines>"
        And the route leads to "others:1" by the rules "<rules>" on record
        And the store doesn't answer the hosts
        Then streams of the service "models" have to begin at "<begin>"

        Examples:
            | engines | rules                      | begin    |
            | v1 v2   | models:1[v1=3,v2=3]        | v1 v2    |
            | v2 v2   | models:1[v1=3,v2=3]        | v1 v2    |
            | v3 v3   | models:1[v1=3,v2=3]        | anywhere |
            | v1 v2   | models:1[v1=3] / unknown   | anywhere |
            | v1 v2   | none                       | anywhere |
