Feature: Which engine a request asks

    Scenario Outline: <case>
        Then chooseEngine of <args> gives <result>

        Examples:
            | case                                      | args | result |
            | there is no engine                        | [[]] | undefined |
            | an unknown adapter goes to its home       | [[{"engine":"a","outstanding":5},{"engine":"b","outstanding":0}]] | "a" |
            | the least used replica is taken           | [[{"engine":"a","outstanding":5,"isReplica":true},{"engine":"b","outstanding":1,"isReplica":true},{"engine":"c","outstanding":0}]] | "b" |
            | another failure domain first              | [[{"engine":"a","outstanding":0,"isAvoided":true,"isFailedDomain":true},{"engine":"b","outstanding":0,"isFailedDomain":true},{"engine":"c","outstanding":9}]] | "c" |
            | the same domain where there is no other   | [[{"engine":"a","outstanding":0,"isAvoided":true,"isFailedDomain":true},{"engine":"b","outstanding":0,"isFailedDomain":true}]] | "b" |
            | a failed engine is the last resort        | [[{"engine":"a","outstanding":0,"isAvoided":true,"isFailedDomain":true}]] | "a" |
