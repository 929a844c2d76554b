Feature: Stand-ins show the faults that they are told to

    Background:
        Given standin weights, engine, kv and hosts

    Scenario: An engine checks fences, or ignores them
        When standin engine is told to load "a" with fence 5
        And standin engine is told to load "b" with fence 4
        Then standin engine answered 200, 409
        When standin engine has faults {"checksFences":false}
        And standin engine is told to load "b" with fence 4
        Then standin engine answered 200, 409, 200

    Scenario: An engine fails loads and restarts empty
        When standin engine has faults {"failLoads":1}
        And standin engine is told to load "a" with fence 1
        And standin engine is told to load "a" with fence 1
        Then standin engine answered 409, 200
        And standin engine reports instances "a"
        When standin engine has faults {"restart":true}
        Then standin engine reports instances ""
        And standin engine reports another incarnation

    Scenario: An engine's reports lag or are lost
        When standin engine has faults {"reportLagMs":600000}
        Then standin engine reports instances ""
        When standin engine is told to load "a" with fence 1
        Then standin engine reports instances ""
        When standin engine has faults {"reportLagMs":0}
        Then standin engine reports instances "a"
        When standin engine has faults {"loseReports":true}
        Then standin engine gives no report

    Scenario: A weight store fails the next load
        When standin weights has faults {"failNext":1}
        And standin engine is told to load "a" with fence 1
        And standin engine is told to load "a" with fence 1
        Then standin engine answered 409, 200

    Scenario: A key-value service loses a reply after the effect, and a request before it
        When standin kv has faults {"loseReplies":1}
        And standin kv is told to write "one"
        Then standin kv gave no answer and holds "one"
        When standin kv has faults {"loseRequests":1}
        And standin kv is told to write "two"
        Then standin kv gave no answer and holds "one"

    Scenario: A key-value service lets leases lapse
        When standin kv grants a lease
        And standin kv has faults {"lapseLeases":true}
        Then standin kv holds no lease

    Scenario Outline: Every kind can be down, <kind>
        When standin <kind> has faults {"down":true}
        Then standin <kind> answers nothing
        And standin <kind> comes back by faults {"down":false}

        Examples:
            | kind    |
            | weights |
            | engine  |
            | kv      |
            | hosts   |

    Scenario Outline: Open connections of every kind fall silent while new ones work, <kind>
        Then standin <kind> falls silent on an open connection and answers on a new one

        Examples:
            | kind    |
            | weights |
            | engine  |
            | kv      |
            | hosts   |
