Feature: A host's view of the store follows the store within the platform's bounds

    # Guards against a host that serves an old configuration, or sends to engines that leave, since an open watch hears nothing.
    Scenario Outline: A watch that hears nothing doesn't keep the view of one of <hosts> hosts old: <fault>
        Given a host among <hosts> hosts that follows the store
        When the store <fault>
        And 1000 ms later a configuration is accepted and an engine announces that it leaves
        Then both are in force 2000 ms later

        Examples:
            | hosts | fault                                     |
            | 8     | silences every open connection            |
            | 8     | answers nothing for 600 ms                |
            | 8     | answers nothing for 2500 ms               |
            | 8     | answers nothing for 10000 ms              |
            | 8     | rejects calls for 5000 ms                 |
            | 8     | answers nothing for 2500 ms and compacts  |
            | 86    | silences every open connection            |
            | 86    | answers nothing for 2500 ms               |
            | 300   | silences every open connection            |
            | 300   | answers nothing for 10000 ms              |

    # Guards against a host that ignores what the store says after its return, since its revisions are lower than before.
    Scenario Outline: The store comes back from a copy that is <age> ms old: one of <hosts> hosts
        Given a host among <hosts> hosts that follows the store
        When the store comes back from a copy that is <age> ms old, after <writes> changes
        And <later> ms later a configuration is accepted and an engine announces that it leaves
        Then both are in force 2000 ms later

        Examples:
            | hosts | age   | writes | later |
            | 8     | 3000  | 40     | 0     |
            | 8     | 8000  | 40     | 3200  |
            | 8     | 8000  | 3      | 3200  |
            | 8     | 8000  | 400    | 3200  |
            | 86    | 8000  | 40     | 3200  |
            | 300   | 8000  | 40     | 3200  |

    # Guards against what was in force, or known of engines, going back to what the copy says.
    Scenario Outline: What a copy has lost, and a host knows: <case>
        Given a host among 8 hosts that follows the store
        When the store comes back from a copy of the time before <case>
        Then the host still goes by <case>
        And also after 500 ms
        And it does so still when the writers have written again

        Examples:
            | case                          |
            | a configuration               |
            | an engine that leaves         |
            | an engine that has gone       |
            | an engine that has come       |
            | a version of an adapter       |
            | a host that has come          |
            | a quarantine                  |
            | a software version on record  |

    # Guards against one odd entry of another writer that ends the process, or keeps the host from what comes after it.
    Scenario Outline: A host follows the store past an odd entry: <key>, <content>
        Given a host among 8 hosts that follows the store
        When another writer puts <key> with <content>
        And 1000 ms later a configuration is accepted and an engine announces that it leaves
        Then both are in force 2000 ms later

        Examples:
            | key                         | content                                 |
            | servers/odd                 | a list that is nested 100000 levels deep |
            | servers/odd                 | models that are nested 100000 levels deep |
            | servers/odd                 | slots of 1e300                          |
            | servers/odd                 | an address of 10.0.0.1:99999            |
            | servers/%zz                 | an address of 10.0.0.1:80               |
            | op/config                   | a list that is nested 100000 levels deep |
            | op/version/odd              | a list that is nested 100000 levels deep |
            | fulmarcleat/member/odd      | a list that is nested 100000 levels deep |
            | fulmarcleat/member/odd      | a port of 99999                         |
            | fulmarcleat/version/%zz/%   | nothing                                 |
            | fulmarcleat/owner/%zz       | a list that is nested 100000 levels deep |
            | fulmarcleat/%zz             | nothing                                 |

    Scenario Outline: A host starts with an odd entry in the store: <key>, <content>
        Given another writer has put <key> with <content> before a host among 8 hosts starts
        When 1000 ms later a configuration is accepted and an engine announces that it leaves
        Then both are in force 2000 ms later

        Examples:
            | key                         | content                                 |
            | servers/odd                 | a list that is nested 100000 levels deep |
            | servers/odd                 | models that are nested 100000 levels deep |
            | servers/odd                 | slots of 1e300                          |
            | servers/odd                 | an address of 10.0.0.1:99999            |
            | servers/%zz                 | an address of 10.0.0.1:80               |
            | op/config                   | a list that is nested 100000 levels deep |
            | op/version/odd              | a list that is nested 100000 levels deep |
            | fulmarcleat/member/odd      | a list that is nested 100000 levels deep |
            | fulmarcleat/member/odd      | a port of 99999                         |
            | fulmarcleat/version/%zz/%   | nothing                                 |
            | fulmarcleat/owner/%zz       | a list that is nested 100000 levels deep |
            | fulmarcleat/%zz             | nothing                                 |

    # Guards against retries of a watch that are still waiting for the store when it has long returned.
    Scenario Outline: No length of an outage keeps the view of one of <hosts> hosts old
        Then after outages of 100 to 6000 ms the view of one of <hosts> hosts is never older than the bounds allow

        Examples:
            | hosts |
            | 8     |
            | 86    |

    Scenario: No random sequence of faults keeps the view older than the bounds allow
        Then in 60 random sequences of such faults the view of 8 or 86 hosts is never older than the bounds allow
