Feature: The medians over the engines of a service

    Scenario Outline: <case>
        Then computeMedians of <args> gives <result>

        Examples:
            | case                                   | args                                                       | result                          |
            | no engine                              | [[]]                                                       | {}                              |
            | engines without a value don't count    | [[{"tokenMs":0.1},{"eventMs":22},{"tokenMs":0.3},{"tokenMs":0.2}]] | {"tokenMs":0.2,"eventMs":22} |
            | one engine that is far off             | [[{"workMs":40},{"workMs":9000},{"workMs":42}]]            | {"workMs":42}                   |
