Feature: Operators change resources over HTTP

    Background:
        Given a fleet of 2 gateways and 1 engines
        And an operator API

    Scenario: an operator's change is accepted, served and in effect on every host
        When operator POSTs "Adapter" {"kind":"Adapter","metadata":{"name":"levy"},"spec":{"baseModel":"base-13b","versions":[{"version":"7","weights":"levy/7"}]}}
        Then the API answers 201 with {"metadata":{"name":"levy","generation":1,"resourceVersion":2}}
        And the API reports that "Adapter/levy" is in effect on 2 hosts
        When operator GETs "Adapter"
        Then the API answers 200 with {"kind":"List","metadata":{"resourceVersion":2,"remaining":0}}

    Scenario Outline: <what> is refused as <status> <code> and changes nothing
        Given the API has accepted adapter "levy" with versions "6,7", caller "linz" and an offer of both
        When operator <request>
        Then the API answers <status> with {"error":{"code":"<code>","outcome":"not_run"}}
        And the API accepted no further change

        Examples:
            | what                         | status | code            | request                                                                                                                                                                     |
            | an unknown kind              | 404    | not_found       | GETs "Nothing"                                                                                                                                                              |
            | an unknown resource          | 404    | not_found       | GETs "Offer/none"                                                                                                                                                           |
            | a second creation            | 409    | conflict        | POSTs "Caller" {"kind":"Caller","metadata":{"name":"linz"},"spec":{"keyHashes":["0000000000000000000000000000000000000000000000000000000000000000"]}}                       |
            | a replacement without version | 409   | conflict        | PUTs "Adapter/levy" {"kind":"Adapter","metadata":{"name":"levy"},"spec":{"baseModel":"base-13b","versions":[{"version":"6","weights":"levy/6"},{"version":"7","weights":"levy/7"},{"version":"8","weights":"levy/8"}]}} |
            | a stale replacement          | 409    | conflict        | PUTs "Adapter/levy" {"kind":"Adapter","metadata":{"name":"levy","resourceVersion":1},"spec":{"baseModel":"base-13b","versions":[{"version":"6","weights":"levy/6"}]}}       |
            | other weights of a version   | 409    | conflict        | PATCHes "Adapter/levy" {"spec":{"versions":[{"version":"6","weights":"other"},{"version":"7","weights":"levy/7"}]}}                                                         |
            | a version on offer that goes | 409    | conflict        | PATCHes "Adapter/levy" {"spec":{"versions":[{"version":"7","weights":"levy/7"}]}}                                                                                           |
            | an offer of no adapter       | 409    | conflict        | POSTs "Offer" {"kind":"Offer","metadata":{"name":"o"},"spec":{"adapter":"none","versions":["1"],"callers":["linz"],"priority":"bulk"}}                                      |
            | an offer of no version       | 409    | conflict        | POSTs "Offer" {"kind":"Offer","metadata":{"name":"o"},"spec":{"adapter":"levy","versions":["9"],"callers":["linz"],"priority":"bulk"}}                                      |
            | an offer to no caller        | 409    | conflict        | POSTs "Offer" {"kind":"Offer","metadata":{"name":"o"},"spec":{"adapter":"levy","versions":["6"],"callers":["none"],"priority":"bulk"}}                                      |
            | deleting an offered adapter  | 409    | conflict        | DELETEs "Adapter/levy"                                                                                                                                                      |
            | deleting a named caller      | 409    | conflict        | DELETEs "Caller/linz"                                                                                                                                                       |
            | a wrong field                | 400    | bad_request     | PATCHes "Offer/levy-linz" {"spec":{"priority":"soon"}}                                                                                                                      |
            | an unknown field             | 400    | bad_request     | POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimits":1}}                                                                                           |
            | a bad If-Match               | 400    | bad_request     | DELETEs "Offer/levy-linz" if it matches "x"                                                                                                                                 |
            | another's token              | 401    | unauthenticated | with token "wrong" GETs "Offer"                                                                                                                                             |
            | a history that is gone       | 400    | bad_request     | GETs "watch?resourceVersion=x"                                                                                                                                              |

    Scenario: a dry run returns the result and changes nothing
        Given the API has accepted adapter "levy" with versions "6,7", caller "linz" and an offer of both
        When operator PATCHes "Offer/levy-linz?dryRun=true" {"spec":{"priority":"bulk"}}
        Then the API answers 200 with {"spec":{"priority":"bulk"},"metadata":{"generation":2}}
        And the API accepted no further change

    Scenario: a conflict returns the current state
        Given the API has accepted adapter "levy" with versions "6,7", caller "linz" and an offer of both
        When operator DELETEs "Offer/levy-linz" if it matches "1"
        Then the API answers 409 with {"error":{"code":"conflict"},"current":{"spec":{"priority":"urgent"}}}

    Scenario: a retired version name can't be reused
        When operator POSTs "Adapter" {"kind":"Adapter","metadata":{"name":"a"},"spec":{"baseModel":"base-13b","versions":[{"version":"1","weights":"x"},{"version":"2","weights":"y"}]}}
        And operator PATCHes "Adapter/a" {"spec":{"versions":[{"version":"2","weights":"y"}]}}
        Then the API answers 200 with {"metadata":{"retired":["1"]}}
        When operator PATCHes "Adapter/a" {"spec":{"versions":[{"version":"2","weights":"y"},{"version":"1","weights":"z"}]}}
        Then the API answers 409 with {"error":{"code":"conflict"}}

    Scenario: an operator's role limits its writes, and the first operator disables the bootstrap token
        When operator POSTs "Operator" {"kind":"Operator","metadata":{"name":"ada"},"spec":{"tokenHashes":["8f434346648f6b96df89dda901c5176b10a6d83961dd3c1ac88b59b2dc327aa4"],"read":true,"write":["Operator"]}}
        Then the API answers 201 with {"kind":"Operator"}
        When operator GETs "Operator"
        Then the API answers 401 with {"error":{"code":"unauthenticated"}}
        When operator with token "hi" POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{}}
        Then the API answers 403 with {"error":{"code":"forbidden","outcome":"not_run"}}
        When operator with token "hi" GETs "Operator"
        Then the API answers 200 with {"kind":"List"}

    Scenario: changes are refused while the key-value service is unavailable
        Given the API's key-value service is down
        When operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{}}
        Then the API answers 503 with {"error":{"code":"kv_unavailable","outcome":"not_run"}}
        And the API's answer has the header "retry-after" "1"
        When operator GETs "Upstream"
        Then the API answers 200 with {"kind":"List"}

    Scenario: a change succeeds although replies of the key-value service are lost
        Given the API's key-value service loses the next 2 replies
        When operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{}}
        Then the API answers 201 with {"metadata":{"resourceVersion":2}}
        And the configuration log contains 1 change of "Policy/p"
