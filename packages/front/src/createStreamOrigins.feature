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
            | after its record has expired                    | v1 v2   | the stream began at version v1 at host 0 | 31 s pass                               | every other host | unknown | 8     |
            | at another of many hosts                        | v1 v2   | the stream began at version v1 at host 0 | nothing happens                         | every other host | v1      | 40    |
            | of many hosts, after its first was killed       | v1 v2   | the stream began at version v1 at host 0 | host 0 is killed                        | every other host | v1      | 40    |

    Scenario: The hosts of a large deployment tell few peers
        Given 40 hosts and engines of the versions "v1 v2"
        When 500 streams begin at host 0
        Then their records were sent to at most 16 hosts, two each

    Scenario: A client that doesn't name the first request resumes only while there is one version
        Given 8 hosts and engines of the versions "v1 v2"
        And the stream began at version v1 at host 0
        When the client resumes a stream without naming its first request
        Then the stream began at "unknown"
