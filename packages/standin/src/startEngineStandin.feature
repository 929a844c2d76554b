Feature: Stand-ins simulate the faults that are set

    Background:
        Given standin weights, engine, kv and hosts are running

    Scenario: An engine checks fencing tokens, or ignores them
        When standin engine is ordered to load "a" with fence 5
        And standin engine is ordered to load "b" with fence 4
        Then standin engine answered 200, 409
        When standin engine has faults {"checksFences":false}
        And standin engine is ordered to load "b" with fence 4
        Then standin engine answered 200, 409, 200

    Scenario: An engine fails loads and restarts without adapters
        When standin engine has faults {"failLoads":1}
        And standin engine is ordered to load "a" with fence 1
        And standin engine is ordered to load "a" with fence 1
        Then standin engine answered 409, 200
        And standin engine reports instances "a"
        When standin engine has faults {"restart":true}
        Then standin engine reports instances ""
        And standin engine reports another incarnation

    Scenario: The reports of an engine are delayed or lost
        When standin engine has faults {"reportLagMs":600000}
        Then standin engine reports instances ""
        When standin engine is ordered to load "a" with fence 1
        Then standin engine reports instances ""
        When standin engine has faults {"reportLagMs":0}
        Then standin engine reports instances "a"
        When standin engine has faults {"loseReports":true}
        Then standin engine returns no report

    Scenario: A weight store fails the next load
        When standin weights has faults {"failNext":1}
        And standin engine is ordered to load "a" with fence 1
        And standin engine is ordered to load "a" with fence 1
        Then standin engine answered 409, 200

    Scenario: A key-value service loses the reply to a write, or the write itself
        When standin kv has faults {"loseReplies":1}
        And standin kv is requested to write "one"
        Then standin kv sent no response and holds "one"
        When standin kv has faults {"loseRequests":1}
        And standin kv is requested to write "two"
        Then standin kv sent no response and holds "one"

    Scenario: A key-value service expires leases early
        When standin kv grants a lease
        And standin kv has faults {"lapseLeases":true}
        Then standin kv holds no lease

    Scenario Outline: Every kind of stand-in can be down: <kind>
        When standin <kind> has faults {"down":true}
        Then standin <kind> does not respond
        And standin <kind> responds again after faults {"down":false}

        Examples:
            | kind    |
            | weights |
            | engine  |
            | kv      |
            | hosts   |

    Scenario Outline: Open connections stop responding while new ones work: <kind>
        Then standin <kind> stops responding on an open connection and responds on a new one

        Examples:
            | kind    |
            | weights |
            | engine  |
            | kv      |
            | hosts   |
