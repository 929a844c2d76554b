Feature: A window keeps the newest samples, and none that can't be a duration

    Scenario Outline: <case>
        Then addSample of <args> gives <result>

        Examples:
            | case                                    | args                                                                                    | result                                                       |
            | the first sample                        | [[],{"ms":5,"tokens":0,"atMs":1},2]                                                     | [{"ms":5,"tokens":0,"atMs":1}]                               |
            | the oldest one goes                     | [[{"ms":1,"tokens":0,"atMs":1},{"ms":2,"tokens":0,"atMs":2}],{"ms":5,"tokens":0,"atMs":3},2] | [{"ms":2,"tokens":0,"atMs":2},{"ms":5,"tokens":0,"atMs":3}] |
            | a negative duration                     | [[],{"ms":-5,"tokens":0,"atMs":1},2]                                                    | []                                                           |
            | an impossible duration                  | [[],{"ms":1e9,"tokens":0,"atMs":1},2]                                                   | []                                                           |
            | no number, as another host may send it  | [[],{"ms":null,"tokens":0,"atMs":1},2]                                                  | []                                                           |
