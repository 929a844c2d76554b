Feature: An engine has one owner at a time, and another orders only when the former can't

    Scenario Outline: <case>
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":<rank>,"wasOwner":<was>,"unownedMs":<unowned>,"isFirstStart":<first>,"checksFences":false,<claim>}] gives <result>

        Examples:
            | case                                     | rank | was   | unowned | first | claim                                                                       | result                                                        |
            | first start, first choice                | 0    | false | 0       | true  | "x":0                                                                       | {"kind":"claim","expectedRevision":0,"mustWait":false}        |
            | first start, second choice               | 1    | false | 0       | true  | "x":0                                                                       | {"kind":"wait"}                                               |
            | first start, the first choice is gone    | 1    | false | 400     | true  | "x":0                                                                       | {"kind":"claim","expectedRevision":0,"mustWait":false}        |
            | a former owner may have ordered just now | 0    | false | 700     | false | "x":0                                                                       | {"kind":"claim","expectedRevision":0,"mustWait":true}         |
            | the former owner gets the first try      | 0    | false | 100     | false | "x":0                                                                       | {"kind":"wait"}                                               |
            | the former owner itself                  | 3    | true  | 0       | false | "x":0                                                                       | {"kind":"claim","expectedRevision":0,"mustWait":false}        |
            | it is this process's                     | 0    | false | 0       | false | "claim":{"host":"a","incarnation":"1","isReleased":false,"revision":7}      | {"kind":"own","fence":7}                                      |
            | it is this host's from before a restart  | 3    | false | 0       | false | "claim":{"host":"a","incarnation":"0","isReleased":false,"revision":7}      | {"kind":"claim","expectedRevision":7,"mustWait":false}        |
            | another's                                | 0    | false | 9000    | false | "claim":{"host":"b","incarnation":"1","isReleased":false,"revision":7}      | {"kind":"wait"}                                               |
            | given up after its last order            | 0    | false | 0       | false | "claim":{"host":"b","incarnation":"1","isReleased":true,"revision":7}       | {"kind":"claim","expectedRevision":7,"mustWait":false}        |
            | given up, second choice                  | 1    | false | 100     | false | "claim":{"host":"b","incarnation":"1","isReleased":true,"revision":7}       | {"kind":"wait"}                                               |

    Scenario: An engine that checks fences needs no wait after its owner's lease has lapsed
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":0,"wasOwner":false,"unownedMs":700,"isFirstStart":false,"checksFences":true}] gives {"kind":"claim","expectedRevision":0,"mustWait":false}
