Feature: The store has on record where the streams of a route begin

    Scenario Outline: <hosts> hosts, <case>
        Given <hosts> hosts that record origin rules for the route "<route>" and the engines "<engines>"
        And <start>
        When <change>
        And <after> ms pass for the rules
        Then the rules on record are "<recorded>" after at most <writes> writes

        Examples:
            | hosts | case                          | route   | engines | start                        | change                                 | after | recorded                             | writes |
            | 8     | the first start               | m:1     | v1 v1   | it is the first start        | nothing changes                        | 1000  | m:1[v1=2] / unknown                  | 1      |
            | 8     | settled soon                  | m:1     | v1 v2   | it is the first start        | nothing changes                        | 6000  | m:1[v1=1,v2=1]                       | 2      |
            | 8     | a later start                 | m:1     | v1 v2   | it is a later start          | nothing changes                        | 6000  | m:1[v1=1,v2=1] / unknown             | 1      |
            | 8     | a later start, settled        | m:1     | v1 v2   | it is a later start          | nothing changes                        | 32000 | m:1[v1=1,v2=1]                       | 2      |
            | 8     | a version comes               | m:1     | v1 v1   | the rules have settled       | an engine of v2 registers              | 4000  | m:1[v1=2,v2=1] / m:1[v1=2]           | 1      |
            | 8     | a version came long ago       | m:1     | v1 v1   | the rules have settled       | an engine of v2 registers              | 66000 | m:1[v1=2,v2=1]                       | 2      |
            | 8     | a version is gone for a moment | m:1    | v1 v2   | the rules have settled       | the engines of v2 go for 1 s           | 4000  | m:1[v1=1,v2=1]                       | 0      |
            | 8     | all engines are gone          | m:1     | v1 v2   | the rules have settled       | the engines of v1 and v2 go            | 9000  | m:1[v1=1,v2=1]                       | 0      |
            | 8     | the weights change            | m:9 n:1 | v1      | the rules have settled       | the route leads to "m:1 n:9"           | 4000  | m:1[v1=1] n:9[] / m:9[v1=1] n:1[]    | 1      |
            | 8     | the route is removed          | m:1     | v1      | the rules have settled       | the route is removed                   | 4000  | none                                 | 1      |
            | 8     | a host of a former version    | m:1     | v1 v2   | the rules have settled       | a host of a former version joins       | 4000  | none                                 | 1      |
            | 8     | the writer is cut off         | m:1     | v1      | the rules have settled       | an engine of v2 comes, 1 host is cut off | 6000 | m:1[v1=1,v2=1] / m:1[v1=1]           | 1      |
            | 8     | the store came back from a copy | m:1   | v1 v2   | the rules have settled       | the store comes back from a copy       | 2000  | m:1[v1=1,v2=1] / unknown             | 1      |
            | 8     | the store was away            | m:1     | v1 v1   | an engine of v2 came 4 s ago | the store is away for 50 s             | 20000 | m:1[v1=2,v2=1] / m:1[v1=2]           | 0      |
            | 8     | an odd value                  | m:1     | v1      | the rules have settled       | another writer puts an odd value       | 2000  | m:1[v1=1] / unknown                  | 1      |
            | 86    | the first start               | m:1     | v1 v2   | it is the first start        | nothing changes                        | 6000  | m:1[v1=1,v2=1]                       | 2      |
            | 300   | a version comes               | m:1     | v1 v1   | the rules have settled       | an engine of v2 registers              | 4000  | m:1[v1=2,v2=1] / m:1[v1=2]           | 1      |
