Feature: Choice of the engine for a request

    Scenario Outline: <case>
        Then chooseEngine of <args> gives <result>

        Examples:
            | case                                      | args | result |
            | no engines                                | [[]] | undefined |
            | without replicas the first engine is used | [[{"engine":"a","outstanding":5},{"engine":"b","outstanding":0}]] | "a" |
            | the least used replica is chosen          | [[{"engine":"a","outstanding":5,"isReplica":true},{"engine":"b","outstanding":1,"isReplica":true},{"engine":"c","outstanding":0}]] | "b" |
            | another failure domain is preferred       | [[{"engine":"a","outstanding":0,"isAvoided":true,"isFailedDomain":true},{"engine":"b","outstanding":0,"isFailedDomain":true},{"engine":"c","outstanding":9}]] | "c" |
            | the same domain if there is no other      | [[{"engine":"a","outstanding":0,"isAvoided":true,"isFailedDomain":true},{"engine":"b","outstanding":0,"isFailedDomain":true}]] | "b" |
            | a failed engine is the last resort        | [[{"engine":"a","outstanding":0,"isAvoided":true,"isFailedDomain":true}]] | "a" |
