Feature: Hosts share what they observe in the reports that they send anyway

    Scenario: A host that has observed nothing of an engine knows its speed from the owner's report
        Given 70 hosts that send requests through the owner of engine "i-1", which states how long work takes
        When each host observes 1 first byte of 20 tokens in a millisecond, and 4 events 44 ms apart
        And the hosts report to the owner
        Then a host that has only reported knows 18 to 22 tokens in a millisecond and events each 42 to 45 ms
        And each host has sent one report

    Scenario: Where engines don't state how long work takes, reports and replies have the fields of today
        Given 2 hosts that send requests through the owner of engine "i-1", which doesn't state how long work takes
        When each host observes 1 first byte of 20 tokens in a millisecond, and 4 events 44 ms apart
        And the hosts report to the owner
        Then reports have the fields "engine,host,inFlight,isRelayed,queuedTokens,started,total"
        And replies have the fields "adapters,kind,load,placeWaitMs,queuedTokens"
        And views of the engine have no pace
        And each host has sent one report

    Scenario: Reports with what was observed grow by few bytes
        Then a report with 4 first bytes and 4 events is at most 70 bytes longer, and a reply at most 26 bytes

    Scenario: An owner that runs the previous version leaves the new fields alone
        Given 2 hosts that send requests through an owner of the previous version
        When each host observes 1 first byte of 20 tokens in a millisecond, and 4 events 44 ms apart
        And the hosts report to the owner
        Then replies have the fields "adapters,kind,load,placeWaitMs,queuedTokens"
