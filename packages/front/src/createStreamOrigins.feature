Feature: Hosts know where a stream began when its client resumes it

    Scenario Outline: <case>
        Given <hosts> hosts and engines of the versions "<engines>"
        And <record>
        And <since>
        When the client resumes the stream at <host>
        Then the stream began at "<version>"

        Examples:
            | case                                            | engines | record                                   | since                                   | host             | version | hosts |
            | at the same host                                | v1 v2   | the stream began at version v1 at host 0 | nothing happens                         | host 0           | v1      | 8     |
            | at another host                                 | v1 v2   | the stream began at version v1 at host 0 | nothing happens                         | every other host | v1      | 8     |
            | at a host that was asked before                 | v1 v2   | the stream began at version v2 at host 0 | nothing happens                         | every other host | v2      | 8     |
            | after its first host was killed                 | v1 v2   | the stream began at version v1 at host 0 | host 0 is killed                        | every other host | v1      | 8     |
            | after three hosts were killed and a fourth came | v1 v2   | the stream began at version v1 at host 0 | hosts 0, 1 and 2 are killed and 8 joins | every other host | v1      | 8     |
            | that no host knows, with two versions           | v1 v2   | no host has a record of the stream       | nothing happens                         | every other host | unknown | 8     |
            | that no host knows, with one version            | v1 v1   | no host has a record of the stream       | nothing happens                         | every other host | v1      | 8     |
            | that no host knows, after another version left  | v1 v2   | no host has a record of the stream       | the engine of v2 leaves 29 s before     | every other host | unknown | 8     |
            | that no host knows, long after it left          | v1 v2   | no host has a record of the stream       | the engine of v2 leaves 31 s before     | every other host | v1      | 8     |
            | after its record has expired                    | v1 v2   | the stream began at version v1 at host 0 | 61 s pass                               | every other host | unknown | 8     |
            | at another of many hosts                        | v1 v2   | the stream began at version v1 at host 0 | nothing happens                         | every other host | v1      | 40    |
            | of many hosts, after its first was killed       | v1 v2   | the stream began at version v1 at host 0 | host 0 is killed                        | every other host | v1      | 40    |

    # Guards against a stream that is joined from two versions, since no host is left that knows where it began.
    Scenario Outline: After a loss of power of all <hosts> hosts: <case>
        Given <hosts> hosts and engines of the versions "<engines>"
        And the stream began at version v1 at host 0
        And <since>
        And all hosts lose power and run for <ran> s
        When the client resumes the stream at every other host
        Then the stream began at "<version>"

        Examples:
            | case                                     | engines | since                               | ran | version | hosts |
            | there was only one version               | v1 v1   | nothing happens                     | 0   | v1      | 8     |
            | two versions are in service              | v1 v2   | 1 s passes                          | 0   | v1      | 8     |
            | two versions, many hosts                 | v1 v2   | 1 s passes                          | 0   | v1      | 86    |
            | two versions, a large deployment         | v1 v2   | 1 s passes                          | 0   | v1      | 195   |
            | the client comes back after 5 s          | v1 v2   | 1 s passes                          | 5   | v1      | 8     |
            | the client comes back after 20 s         | v1 v2   | 1 s passes                          | 20  | v1      | 8     |
            | the client comes back too late           | v1 v2   | 1 s passes                          | 61  | unknown | 8     |
            | its record had not been written          | v1 v2   | nothing happens                     | 0   | unknown | 8     |
            | the second version came after it began   | v1      | an engine of v2 comes 2 s before    | 0   | v1      | 8     |
            | that came just before                    | v1      | an engine of v2 comes 0 s before    | 0   | unknown | 8     |
            | the store was away for a moment          | v1 v2   | 1 s passes with the store away, and 2 s | 0 | v1    | 8     |
            | the store doesn't answer                 | v1 v2   | 1 s passes, and the store goes away | 0   | unknown | 8     |
            | another writer has put odd records       | v1 v2   | 1 s passes beside odd records       | 0   | v1      | 8     |
            | the stream's version had just left       | v1 v2   | the engine of v1 leaves 1 s before  | 0   | v1      | 8     |
            | it had left 29 s before                  | v1 v2   | the engine of v1 leaves 29 s before | 0   | v1      | 8     |
            | it had left long before                  | v1 v2   | the engine of v1 leaves 31 s before | 0   | v2      | 8     |
            | the store has nothing on record          | v1 v1   | the versions were never recorded    | 0   | unknown | 8     |
            | nothing on record, the hosts ran on      | v1 v1   | the versions were never recorded    | 31  | v1      | 8     |
            | it had just left, of many hosts          | v1 v2   | the engine of v1 leaves 1 s before  | 0   | v1      | 195   |

    # Guards against a stream that its client can't resume, since all hosts were lost between its first event and the
    # write of its record.
    Scenario Outline: After a loss of all <hosts> hosts <ms> ms after a first event reached its client, "<versions>"
        Given <hosts> hosts and engines of the versions "<versions>"
        And the first event of a stream of version v1 has reached its client from host 0<trouble>
        And all hosts lose power <ms> ms later
        When the client resumes the stream at every other host
        Then the stream began at "<began>"
        And the event was held for at most <held> ms

        Examples:
            | hosts | versions | ms  | trouble                 | began   | held |
            | 6     | v1 v2    | 0   |                         | v1      | 120  |
            | 6     | v1 v2    | 50  |                         | v1      | 120  |
            | 6     | v1 v2    | 240 |                         | v1      | 120  |
            | 6     | v1 v2    | 640 |                         | v1      | 120  |
            | 6     | v1 v2 v3 | 0   |                         | v1      | 120  |
            | 86    | v1 v2    | 0   |                         | v1      | 120  |
            | 86    | v1 v2    | 240 |                         | v1      | 120  |
            | 300   | v1 v2    | 0   |                         | v1      | 120  |
            | 300   | v1 v2 v3 | 50  |                         | v1      | 120  |
            | 6     | v1 v2    | 0   | , the hosts behind      | v1      | 500  |
            | 86    | v1 v2    | 0   | , a writer gone         | v1      | 500  |
            | 6     | v1 v1    | 0   |                         | v1      | 0    |
            | 6     | v1 v2    | 0   | , the store away        | unknown | 520  |
            | 6     | v1 v2    | 0   | , the store rejecting   | unknown | 520  |
            | 6     | v1 v2    | 0   | , the store turned back | unknown | 120  |

    # Guards against events that are late for all callers, since each waits for a store that is away.
    Scenario: While the store is away only the first of many streams is held
        Given 6 hosts and engines of the versions "v1 v2"
        When 8 streams begin while the store is away
        Then the event was held for at most 520 ms

    # Guards against a stream that goes on at another version, since the host that takes it up knows of one version only.
    Scenario Outline: A host <state> while the version v2 came
        Given 8 hosts and engines of the versions "v1 v2"
        And the stream began at version v2 at host 0
        And host 3 <state> since before the version v2 came
        When the client resumes the stream at host 3
        Then the stream began at "<version>"

        Examples:
            | state                                           | version |
            | was cut off from the other hosts and the store  | unknown |
            | was cut off from the other hosts                | v2      |
            | was cut off from the store                      | v2      |
            | stood still                                     | v2      |

    Scenario: The hosts of a large deployment tell few peers
        Given 40 hosts and engines of the versions "v1 v2"
        When 500 streams begin at host 0
        Then their records were sent to at most 16 hosts, two each

    Scenario: A client that doesn't name the first request resumes only while there is one version
        Given 8 hosts and engines of the versions "v1 v2"
        And the stream began at version v1 at host 0
        When the client resumes a stream without naming its first request
        Then the stream began at "unknown"

    # Guards against a store whose writes grow with the number of hosts or streams.
    Scenario Outline: <hosts> hosts write where streams began, <versions> in service
        Given <hosts> hosts and engines of the versions "<versions>"
        When 200 streams begin a second for 10 s
        Then the hosts have made at most <calls> calls to the store, <bytes> bytes each
        And after a loss of power at least <known> of the last 1000 streams are known

        Examples:
            | hosts | versions | calls | bytes | known |
            | 6     | v1 v1    | 0     | 0     | 0     |
            | 6     | v1 v2    | 320   | 4000  | 900   |
            | 86    | v1 v2    | 320   | 4000  | 800   |
            | 195   | v1 v2    | 320   | 4000  | 800   |

    Scenario: A host that reaches no other one writes to the store itself
        Given 8 hosts and engines of the versions "v1 v2"
        And hosts don't reach each other
        And the stream began at version v1 at host 0
        And 1 s passes
        And all hosts lose power and run for 0 s
        When the client resumes the stream at every other host
        Then the stream began at "v1"
