Feature: One sample moves an estimate by a bounded factor

    Scenario Outline: <case>
        Then limitStep of <args> gives <result>

        Examples:
            | case             | args       | result |
            | a small step     | [10, 12]   | 12     |
            | a large step up  | [10, 4000] | 15     |
            | a large step down | [15, 0.1] | 10     |
            | the first value  | [null, 40] | 40     |
