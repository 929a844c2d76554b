Feature: An engine has one owner at a time, and a new owner sends orders only once the former owner no longer can

    Scenario Outline: <case>
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":<rank>,"wasOwner":<was>,"unownedMs":<unowned>,"isFirstStart":<first>,"checksFences":false,<claim>}] gives <result>

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

    Scenario: A new owner of an engine that checks fences doesn't wait after the former lease has expired
        Then decideEngineClaim of [{"self":"a","incarnation":"1","rank":0,"wasOwner":false,"unownedMs":700,"isFirstStart":false,"checksFences":true}] gives {"kind":"claim","expectedRevision":0,"mustWait":false}
