Feature: A load request reaches the engine's owner, even if the requesting host does not know the owner

    Scenario Outline: <case>
        Given an adapter tracker on host "b" that knows "<owner>" as the owner of "i-1" and <state>
        When the tracker receives a load request from <sender>
        Then the load request went to "<sentTo>" <how> and the reply is "<answer>"

        Examples:
            | case                                     | owner | state                       | sender                 | sentTo | how       | answer   |
            | the owner is another host                | c     | reaches it                  | its own host           | c      | directly  | ready    |
            | a request of a peer, relayed once        | c     | reaches it                  | a peer                 | c      | relayed   | ready    |
            | a request that was relayed before        | c     | reaches it                  | a peer that relays it  |        | directly  | refused  |
            | the engine has no owner                  |       | reaches it                  | its own host           |        | directly  | refused  |
            | the engine has fenced this host          | b     | has been fenced             | its own host           | c      | directly  | ready    |
            | the owner is unreachable                 | c     | does not reach it           | its own host           | store  | directly  | ready    |

    Scenario Outline: A load is expected to take longer if the engine's owner is unreachable
        Given an adapter tracker on host "b" that knows "<owner>" as the owner of "i-1" and <state>
        Then an absent adapter of <engine> has an expected wait of <wait> ms for a slot, and loads <can> be requested

        Examples:
            | owner | state             | engine                      | wait | can   |
            | c     | reaches it        | an engine                   | 0    | can   |
            | c     | does not reach it | an engine                   | 1000 | can   |
            |       | reaches it        | an engine                   | 0    | can't |
            | c     | reaches it        | an engine without its model | 1000 | can   |

    Scenario: A host sends usage reports only for the engines that it uses
        Given an adapter tracker on host "b" with 42 engines owned by "c"
        When 5000 ms pass on the tracker
        Then the tracker has sent usage reports for 0 engines
        When a request runs on engine "i-7" of the tracker
        And 5000 ms pass on the tracker
        Then the tracker has sent usage reports for 1 engines
        When the tracker's request on engine "i-7" ends
        And 1000 ms pass on the tracker
        And the tracker's usage reports are counted from zero
        And 5000 ms pass on the tracker
        Then the tracker has sent usage reports for 0 engines

    Scenario: A choice renews old owner reports and does not wait for an unresponsive owner
        Given an adapter tracker on host "b" with 42 engines owned by "c"
        When the tracker refreshes the reports on "i-1 i-2"
        Then the tracker has sent usage reports for 2 engines
        And the tracker requested new owner reports
        When the tracker's usage reports are counted from zero
        And the tracker refreshes the reports on "i-1 i-2"
        Then the tracker has sent usage reports for 0 engines
        When the tracker's owners stop responding
        And the tracker refreshes the reports on "i-3"
        Then the tracker has sent usage reports for 1 engines
