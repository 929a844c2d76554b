Feature: Requests whose first byte would come far too late are shed

    Scenario Outline: <case>
        Then shouldShed of [<terms>] gives <result>

        Examples:
            | case                          | terms                                                                      | result |
            | the answer is on time         | {"expectedMs":300,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":5000}    | false  |
            | a little late                 | {"expectedMs":1100,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":5000}   | false  |
            | every engine's queue is long  | {"expectedMs":1300,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":5000}   | true   |
            | a long queue, urgent request  | {"expectedMs":1300,"waitedMs":0,"goalMs":800,"priority":0,"leftMs":5000}   | false  |
            | the client disconnects before | {"expectedMs":900,"waitedMs":2000,"goalMs":800,"priority":1,"leftMs":3000} | true   |
            | its deadline passes before    | {"expectedMs":900,"waitedMs":0,"goalMs":800,"priority":1,"leftMs":700}     | true   |
