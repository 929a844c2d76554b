Feature: Choice of the instance to evict

    Scenario Outline: <case>
        Then chooseVictim of <args> gives <result>

        Examples:
            | case                                             | args | result |
            | nothing is loaded                                | [[]] | undefined |
            | an instance in use is not evicted                | [[{"instance":"a","pins":1,"ratePerSecond":0,"lastUsedMs":0,"waiting":0}]] | undefined |
            | an instance with waiting requests is not evicted | [[{"instance":"a","pins":0,"ratePerSecond":0,"lastUsedMs":0,"waiting":1}]] | undefined |
            | the least requested is evicted                   | [[{"instance":"a","pins":0,"ratePerSecond":2,"lastUsedMs":0,"waiting":0},{"instance":"b","pins":0,"ratePerSecond":1,"lastUsedMs":9,"waiting":0}]] | "b" |
            | at equal rates the least recently used           | [[{"instance":"a","pins":0,"ratePerSecond":1,"lastUsedMs":5,"waiting":0},{"instance":"b","pins":0,"ratePerSecond":1,"lastUsedMs":4,"waiting":0}]] | "b" |
