Feature: Order in which waiting requests are served

    Scenario Outline: <case>
        Then orderWaiting of <args> gives <result>

        Examples:
            | case                                       | args | result |
            | the most urgent class goes first           | [[{"priority":"bulk","arrivedMs":0,"caller":"a"},{"priority":"urgent","arrivedMs":9,"caller":"b"}],{"nowMs":10,"agingMs":5000}] | [{"priority":"urgent","arrivedMs":9,"caller":"b"},{"priority":"bulk","arrivedMs":0,"caller":"a"}] |
            | a bulk request that waited long goes first | [[{"priority":"urgent","arrivedMs":16000,"caller":"b"},{"priority":"bulk","arrivedMs":0,"caller":"a"}],{"nowMs":16000,"agingMs":5000}] | [{"priority":"bulk","arrivedMs":0,"caller":"a"},{"priority":"urgent","arrivedMs":16000,"caller":"b"}] |
            | callers take turns within a class          | [[{"priority":"normal","arrivedMs":0,"caller":"a"},{"priority":"normal","arrivedMs":1,"caller":"a"},{"priority":"normal","arrivedMs":2,"caller":"b"}],{"nowMs":10,"agingMs":5000}] | [{"priority":"normal","arrivedMs":0,"caller":"a"},{"priority":"normal","arrivedMs":2,"caller":"b"},{"priority":"normal","arrivedMs":1,"caller":"a"}] |
            | ties go by arrival                         | [[{"priority":"normal","arrivedMs":3,"caller":"a"},{"priority":"normal","arrivedMs":2,"caller":"b"}],{"nowMs":10,"agingMs":5000}] | [{"priority":"normal","arrivedMs":2,"caller":"b"},{"priority":"normal","arrivedMs":3,"caller":"a"}] |
