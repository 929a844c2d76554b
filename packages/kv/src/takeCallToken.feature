Feature: Calls to the key-value service stay within their budget

    Scenario Outline: Calls beyond the budget are delayed
        Then takeCallToken of <args> gives <result>

        Examples:
            | args                                                            | result                                          |
            | [{"tokens":2,"atMs":0}, {"callsPerSecond":10,"burst":2}, 0]     | {"tokens":{"tokens":1,"atMs":0},"waitMs":0}     |
            | [{"tokens":1,"atMs":0}, {"callsPerSecond":10,"burst":2}, 0]     | {"tokens":{"tokens":0,"atMs":0},"waitMs":0}     |
            | [{"tokens":0,"atMs":0}, {"callsPerSecond":10,"burst":2}, 0]     | {"tokens":{"tokens":-1,"atMs":0},"waitMs":100}  |
            | [{"tokens":-1,"atMs":0}, {"callsPerSecond":10,"burst":2}, 0]    | {"tokens":{"tokens":-2,"atMs":0},"waitMs":200}  |
            | [{"tokens":-1,"atMs":0}, {"callsPerSecond":10,"burst":2}, 200]  | {"tokens":{"tokens":0,"atMs":200},"waitMs":0}   |
            | [{"tokens":0,"atMs":0}, {"callsPerSecond":10,"burst":2}, 60000] | {"tokens":{"tokens":1,"atMs":60000},"waitMs":0} |
            | [{"tokens":0,"atMs":50}, {"callsPerSecond":10,"burst":2}, 0]    | {"tokens":{"tokens":-1,"atMs":0},"waitMs":100}  |
