Feature: A host knows whether it may act as an owner

    Scenario Outline: <case>
        Then reduceSessionTrust of <args> gives <result>

        Examples:
            | case                                   | args                                                                                                        | result                           |
            | a lease is taken                       | [{"openedMs":0},{"kind":"opened","sentMs":5,"nowMs":9},100]                                                   | {"aliveMs":5,"openedMs":9}       |
            | a renewal counts from when it was sent | [{"aliveMs":5,"openedMs":9},{"kind":"renewed","sentMs":50},100]                                               | {"aliveMs":50,"openedMs":9}      |
            | the KV is away and the host ran on     | [{"aliveMs":50,"openedMs":9},{"kind":"unavailable","sentMs":149},100]                                         | {"aliveMs":149,"openedMs":9}     |
            | the KV is away after a pause           | [{"aliveMs":50,"openedMs":9},{"kind":"unavailable","sentMs":150},100]                                         | {"aliveMs":50,"openedMs":9}      |
            | the KV is away and there was no lease  | [{"openedMs":0},{"kind":"unavailable","sentMs":150},100]                                                      | {"openedMs":0}                   |
            | the lease lapsed                       | [{"aliveMs":50,"openedMs":9},{"kind":"lapsed"},100]                                                           | {"openedMs":9}                   |

    Scenario Outline: Trust ends a lease after the last sign of life
        Then isSessionTrusted of <args> gives <result>

        Examples:
            | args                                  | result |
            | [{"aliveMs":50,"openedMs":9},149,100] | true   |
            | [{"aliveMs":50,"openedMs":9},150,100] | false  |
            | [{"openedMs":9},1,100]                | false  |
