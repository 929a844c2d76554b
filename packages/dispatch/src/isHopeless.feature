Feature: A request whose first byte would come far too late is refused at once

    Scenario Outline: <case>
        Then isHopeless of [<terms>] gives <result>

        Examples:
            | case                                    | terms                                                          | result |
            | it will be on time                      | {"expectedMs":300,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":5000}     | false  |
            | a little late                           | {"expectedMs":1100,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":5000}    | false  |
            | every engine's queue is long            | {"expectedMs":1300,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":5000}    | true   |
            | the same for an urgent request          | {"expectedMs":1300,"waitedMs":0,"goalMs":800,"priority":0,"leftMs":5000} | false |
            | the client leaves before                | {"expectedMs":900,"waitedMs":2000,"goalMs":800,"priority":1,"leftMs":3000}  | true   |
            | its time ends before                    | {"expectedMs":900,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":700}      | true   |
