Feature: A host acts as an owner only while its session lease is known to be valid

    Scenario Outline: <case>
        Then reduceSessionTrust of <args> gives <result>

        Examples:
            | case                                              | args                                                                  | result                       |
            | a lease is granted                                | [{"openedMs":0},{"kind":"opened","sentMs":5,"nowMs":9},100]           | {"aliveMs":5,"openedMs":9}   |
            | a renewal counts from when it was sent            | [{"aliveMs":5,"openedMs":9},{"kind":"renewed","sentMs":50},100]       | {"aliveMs":50,"openedMs":9}  |
            | the KV is unavailable and the host was not paused | [{"aliveMs":50,"openedMs":9},{"kind":"unavailable","sentMs":149},100] | {"aliveMs":149,"openedMs":9} |
            | the KV is unavailable after a pause               | [{"aliveMs":50,"openedMs":9},{"kind":"unavailable","sentMs":150},100] | {"aliveMs":50,"openedMs":9}  |
            | the KV is unavailable and there was no lease      | [{"openedMs":0},{"kind":"unavailable","sentMs":150},100]              | {"openedMs":0}               |
            | the lease expired                                 | [{"aliveMs":50,"openedMs":9},{"kind":"lapsed"},100]                   | {"openedMs":9}               |

    Scenario Outline: Trust ends one lease length after the last confirmed time
        Then isSessionTrusted of <args> gives <result>

        Examples:
            | args                                  | result |
            | [{"aliveMs":50,"openedMs":9},149,100] | true   |
            | [{"aliveMs":50,"openedMs":9},150,100] | false  |
            | [{"openedMs":9},1,100]                | false  |
