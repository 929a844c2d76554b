Feature: An engine has one owner at a time, and a new owner sends orders only once the former owner no longer can

    Scenario Outline: <case>
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":<rank>,"wasOwner":<was>,"unownedMs":<unowned>,"isNeverOwned":<first>,"checksFences":false,<claim>}] gives <result>

        Examples:
            | case                                     | rank | was   | unowned | first | claim                                                                  | result                                                 |
            | first start, first choice                | 0    | false | 0       | true  | "x":0                                                                  | {"kind":"claim","expectedRevision":0,"mustWait":false} |
            | first start, second choice               | 1    | false | 0       | true  | "x":0                                                                  | {"kind":"wait"}                                        |
            | first start, the first choice is missing | 1    | false | 400     | true  | "x":0                                                                  | {"kind":"claim","expectedRevision":0,"mustWait":false} |
            | a former owner may have just sent orders | 0    | false | 700     | false | "x":0                                                                  | {"kind":"claim","expectedRevision":0,"mustWait":true}  |
            | the former owner may claim first         | 0    | false | 100     | false | "x":0                                                                  | {"kind":"wait"}                                        |
            | the former owner itself                  | 3    | true  | 0       | false | "x":0                                                                  | {"kind":"claim","expectedRevision":0,"mustWait":false} |
            | claimed by this process                  | 0    | false | 0       | false | "claim":{"host":"a","incarnation":"1","isReleased":false,"revision":7} | {"kind":"own","fence":7}                               |
            | claimed by this host before a restart    | 3    | false | 0       | false | "claim":{"host":"a","incarnation":"0","isReleased":false,"revision":7} | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | claimed by another host                  | 0    | false | 9000    | false | "claim":{"host":"b","incarnation":"1","isReleased":false,"revision":7} | {"kind":"wait"}                                        |
            | released after the owner's last order    | 0    | false | 0       | false | "claim":{"host":"b","incarnation":"1","isReleased":true,"revision":7}  | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | released, second choice                  | 1    | false | 100     | false | "claim":{"host":"b","incarnation":"1","isReleased":true,"revision":7}  | {"kind":"wait"}                                        |

    # Guards against owners that hold engines which they can't reach, and against long waits for hosts that can't claim.
    Scenario Outline: Lost paths: <case>
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":<rank>,"wasOwner":false,"isPathLost":<lost>,"mayHandOver":<may>,"unownedMs":<unowned>,"isNeverOwned":false,"checksFences":<fences>,<claim>}] gives <result>

        Examples:
            | case                                            | rank | lost  | may   | unowned | fences | claim                                                                                      | result                                                 |
            | the owner hands over                            | 0    | true  | true  | 0       | false  | "claim":{"host":"a","incarnation":"1","isReleased":false,"hasLostPath":false,"revision":7} | {"kind":"hand_over","expectedRevision":7}              |
            | the owner handed over shortly before            | 0    | true  | false | 0       | false  | "claim":{"host":"a","incarnation":"1","isReleased":false,"hasLostPath":false,"revision":7} | {"kind":"own","fence":7}                               |
            | the path is there                               | 0    | false | true  | 0       | false  | "claim":{"host":"a","incarnation":"1","isReleased":false,"hasLostPath":false,"revision":7} | {"kind":"own","fence":7}                               |
            | the owner has restarted                         | 0    | true  | true  | 0       | false  | "claim":{"host":"a","incarnation":"0","isReleased":false,"hasLostPath":false,"revision":7} | {"kind":"hand_over","expectedRevision":7}              |
            | the owner has restarted and may not hand over   | 0    | true  | false | 0       | false  | "claim":{"host":"a","incarnation":"0","isReleased":false,"hasLostPath":false,"revision":7} | {"kind":"wait"}                                        |
            | another host owns it                            | 0    | true  | true  | 9000    | false  | "claim":{"host":"b","incarnation":"1","isReleased":false,"hasLostPath":false,"revision":7} | {"kind":"wait"}                                        |
            | nobody owns it                                  | 0    | true  | true  | 9000    | false  | "x":0                                                                                      | {"kind":"wait"}                                        |
            | released at a stop                              | 0    | true  | true  | 9000    | false  | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":false,"revision":7}  | {"kind":"wait"}                                        |
            | handed over by another host, lost here too      | 0    | true  | true  | 9000    | false  | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"wait"}                                        |
            | handed over after the last order, first choice  | 0    | false | true  | 0       | false  | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | handed over, an order may still be carried out  | 0    | false | true  | 0       | false  | "claim":{"host":"b","incarnation":"1","isReleased":false,"hasLostPath":true,"revision":7}  | {"kind":"claim","expectedRevision":7,"mustWait":true}  |
            | the same where engines check fences             | 0    | false | true  | 0       | true   | "claim":{"host":"b","incarnation":"1","isReleased":false,"hasLostPath":true,"revision":7}  | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | handed over, second choice                      | 1    | false | true  | 399     | true   | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"wait"}                                        |
            | handed over, second choice, the first is silent | 1    | false | true  | 400     | true   | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | handed over, fourth choice                      | 3    | false | true  | 799     | true   | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"wait"}                                        |
            | handed over, fourth choice, three are silent    | 3    | false | true  | 800     | true   | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | handed over, last of 300, all others are silent | 299  | false | true  | 3600    | true   | "claim":{"host":"b","incarnation":"1","isReleased":true,"hasLostPath":true,"revision":7}   | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | handed over by this host, its path is back      | 0    | false | true  | 0       | false  | "claim":{"host":"a","incarnation":"1","isReleased":false,"hasLostPath":true,"revision":7}  | {"kind":"claim","expectedRevision":7,"mustWait":true}  |

    # Guards against an owner whose wait for the owners before it is forgotten with its process, or never ends.
    Scenario Outline: Waits: <case>
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":0,"wasOwner":<was>,"isWaitOver":<over>,"unownedMs":0,"isNeverOwned":false,"checksFences":<fences>,<claim>}] gives <result>

        Examples:
            | case                                      | was   | over  | fences | claim                                                                                                              | result                                                 |
            | it still waits                            | false | false | false  | "claim":{"host":"a","incarnation":"1","isReleased":false,"hasLostPath":false,"waitsFor":"order_right","revision":7} | {"kind":"own","fence":7}                               |
            | its wait is over                          | false | true  | false  | "claim":{"host":"a","incarnation":"1","isReleased":false,"hasLostPath":false,"waitsFor":"order_right","revision":7} | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | it restarts while it waits for a right    | false | true  | false  | "claim":{"host":"a","incarnation":"0","isReleased":false,"hasLostPath":false,"waitsFor":"order_right","revision":7} | {"kind":"claim","expectedRevision":7,"mustWait":true}  |
            | it restarts while it waits for a lease    | false | true  | false  | "claim":{"host":"a","incarnation":"0","isReleased":false,"hasLostPath":false,"waitsFor":"order_lease","revision":7} | {"kind":"claim","expectedRevision":7,"mustWait":true}  |
            | the same where engines check fences       | false | true  | true   | "claim":{"host":"a","incarnation":"0","isReleased":false,"hasLostPath":false,"waitsFor":"order_lease","revision":7} | {"kind":"claim","expectedRevision":7,"mustWait":false} |
            | another host waits                        | false | true  | false  | "claim":{"host":"b","incarnation":"1","isReleased":false,"hasLostPath":false,"waitsFor":"order_right","revision":7} | {"kind":"wait"}                                        |
            | another host gave up while it waited      | false | true  | false  | "claim":{"host":"b","incarnation":"1","isReleased":false,"hasLostPath":true,"waitsFor":"order_right","revision":7}  | {"kind":"claim","expectedRevision":7,"mustWait":true}  |

    Scenario: A new owner of an engine that checks fences doesn't wait after the former lease has expired
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":0,"wasOwner":false,"unownedMs":700,"isNeverOwned":false,"checksFences":true}] gives {"kind":"claim","expectedRevision":0,"mustWait":false}
