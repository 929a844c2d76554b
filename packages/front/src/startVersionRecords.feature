Feature: The store has on record which software versions streams can have begun at

    Scenario Outline: <hosts> hosts, <case>
        Given <hosts> hosts that record software versions, and engines of the versions "<engines>"
        When <change>
        And <after> ms pass on the record
        Then the store has "<recorded>" on record after at most <writes> writes

        Examples:
            | hosts | case                                  | engines | change                               | after | recorded    | writes |
            | 8     | a service's name that fits no key     | v1      | an engine of v2 comes after one of an odd service | 1500 | v1 v2 | 2   |
            | 8     | a service's name too long for a key   | v1      | an engine of v2 comes after one of a long service | 1500 | v1 v2 | 2   |
            | 8     | one version                           | v1 v1   | nothing changes                      | 0     | v1          | 1      |
            | 8     | two versions                          | v1 v2   | nothing changes                      | 0     | v1 v2       | 2      |
            | 8     | a version comes                       | v1      | an engine of v2 comes                | 1500  | v1 v2       | 2      |
            | 8     | a version leaves                      | v1 v2   | the engines of v1 leave              | 29000 | v1 v2       | 2      |
            | 8     | a version has left long ago           | v1 v2   | the engines of v1 leave              | 34000 | v2          | 3      |
            | 8     | one of a version's engines leaves     | v1 v1   | one engine leaves                    | 60000 | v1          | 1      |
            | 8     | all hosts start again after it left   | v1 v2   | the engines of v1 leave with a restart | 25000 | v1 v2     | 2      |
            | 8     | the hosts whose turn it is don't write | v1     | an engine of v2 comes, 2 hosts are cut off | 9000 | v1 v2  | 2      |
            | 40    | a version comes                       | v1      | an engine of v2 comes                | 1500  | v1 v2       | 2      |
            | 195   | two versions                          | v1 v2   | nothing changes                      | 0     | v1 v2       | 2      |
