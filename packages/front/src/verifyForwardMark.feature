Feature: The mark of a forwarded request is valid for one request to one host

    Scenario Outline: A mark with <case> arrives as it was signed
        Then the forward mark <mark> is the same after its way over the wire

        Examples:
            | case                       | mark                                                                                                      |
            | nothing tried              | {"from":"front-1","sends":0,"tried":[]}                                                                   |
            | tried engines              | {"from":"front-1","sends":2,"tried":["i-1","i-2"]}                                                        |
            | a request that is counted  | {"from":"front-1","sends":0,"isCounted":true,"tried":[]}                                                  |
            | an account                 | {"from":"front-1","sends":0,"account":"søk 引擎","tried":[]}                                              |
            | a stream's origin          | {"from":"front-1","sends":1,"tried":["i-1"],"origin":{"service":"chat","softwareVersion":"4.1"}}          |
            | an origin of no version    | {"from":"front-1","sends":1,"tried":["i-1"],"origin":{"service":"chat"}}                                  |
            | names that are not ASCII   | {"from":"forhånd-1","sends":1,"tried":["引擎"],"origin":{"service":"søk \\" ?","softwareVersion":"ü"}} |

    Scenario Outline: A mark <case> is not valid
        When a forward mark is signed for "front-2", method "POST", path "/a?b=1" and request "r1"
        And the forward mark arrives <arrival>
        Then the forward mark is <result>

        Examples:
            | case                        | arrival                        | result    |
            | that arrives as it was sent | unchanged                      | valid     |
            | at a host with another key  | with the key "other"           | not valid |
            | for another host            | with the host "front-3"        | not valid |
            | for another method          | with the method "PUT"          | not valid |
            | for another path            | with the path "/a"             | not valid |
            | for another query           | with the path "/a?b=2"         | not valid |
            | for another request         | with the request "r2"          | not valid |
            | without a request id        | with the request ""            | not valid |
            | that was changed            | with the mark "e30"            | not valid |
            | with another code           | with the mac "00"              | not valid |
            | without a code              | with the mac ""                | not valid |

    Scenario Outline: A mark whose text is <text> is not valid, though a host has signed it
        When the text <text> is signed as a forward mark
        Then the forward mark is not valid

        Examples:
            | text                                           |
            |                                                |
            | no JSON                                        |
            | []                                             |
            | {}                                             |
            | {"from":"front-1","sends":-1,"tried":[]}       |
            | {"from":"front-1","sends":0.5,"tried":[]}      |
            | {"from":"front-1","sends":"1","tried":[]}      |
            | {"from":"front-1","sends":1,"isCounted":1,"tried":[]} |
            | {"from":"","sends":1,"tried":[]}               |
            | {"from":"front-1","sends":1,"account":"","tried":[]} |
            | {"from":"front-1","sends":1,"account":1,"tried":[]} |
            | {"from":"front-1","sends":1}                   |
            | {"from":"front-1","sends":1,"tried":[1]}       |
            | {"from":"front-1","sends":1,"tried":[],"origin":{}} |
