Feature: Which instance makes room

    Scenario Outline: <case>
        Then chooseVictim of <args> gives <result>

        Examples:
            | case                             | args | result |
            | nothing is loaded                | [[]] | undefined |
            | what is held stays               | [[{"instance":"a","pins":1,"ratePerSecond":0,"lastUsedMs":0,"waiting":0}]] | undefined |
            | what is waited for stays         | [[{"instance":"a","pins":0,"ratePerSecond":0,"lastUsedMs":0,"waiting":1}]] | undefined |
            | the least asked for goes         | [[{"instance":"a","pins":0,"ratePerSecond":2,"lastUsedMs":0,"waiting":0},{"instance":"b","pins":0,"ratePerSecond":1,"lastUsedMs":9,"waiting":0}]] | "b" |
            | at one rate the longest unused   | [[{"instance":"a","pins":0,"ratePerSecond":1,"lastUsedMs":5,"waiting":0},{"instance":"b","pins":0,"ratePerSecond":1,"lastUsedMs":4,"waiting":0}]] | "b" |
