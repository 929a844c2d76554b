Feature: applyMergePatch applies a JSON merge patch (RFC 7396)

    Scenario Outline: applyMergePatch of <args>
        Then applyMergePatch of <args> gives <result>

        Examples:
            | args                                      | result              |
            | [{"a":1,"b":2},{"b":3}]                   | {"a":1,"b":3}       |
            | [{"a":1,"b":2},{"b":null}]                | {"a":1}             |
            | [{"a":{"b":1,"c":2}},{"a":{"c":null}}]    | {"a":{"b":1}}       |
            | [{"a":[1,2]},{"a":[3]}]                   | {"a":[3]}           |
            | [{"a":1},{"b":{"c":null}}]                | {"a":1,"b":{}}      |
            | [7,{"a":1}]                               | {"a":1}             |
