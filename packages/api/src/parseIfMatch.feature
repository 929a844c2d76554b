Feature: parseIfMatch parses an If-Match header

    Scenario Outline: parseIfMatch of <args>
        Then parseIfMatch of <args> gives <result>

        Examples:
            | args       | result                   |
            | ["41"]     | 41                       |
            | ["\"41\""] | 41                       |
            | ["*"]      | "any"                    |
            | []         | undefined                |
            | ["0"]      | {"throws":"bad_request"} |
            | ["W/\"1\""] | {"throws":"bad_request"} |
