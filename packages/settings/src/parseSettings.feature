Feature: parseSettings reports file, line, key and allowed values

    Scenario Outline: <case>
        Then parseSettings of <text> gives <result>

        Examples:
            | case             | text                                                                | result |
            | allowed          | ["// a comment\|{\"host\":\"a\",\"port\":1,}"]                       | {"host":"a","port":1,"kv":{"url":"http://127.0.0.1:1"}} |
            | empty            | [""]                                                                | "f.jsonc:1: not JSON with comments: ValueExpected" |
            | broken off       | ["{\|\"host\": \"a\","]                                              | "f.jsonc:2: not JSON with comments: PropertyNameExpected" |
            | wrong type       | ["{\|\"host\": \"a\",\|\"port\": \"x\"}"]                             | "f.jsonc:3: port: Invalid input: expected number, received string; allowed: whole number from 0 to 65535" |
            | out of range     | ["{\"host\": \"a\",\|\"port\": 70000}"]                               | "f.jsonc:2: port: Too big: expected number to be <=65535; allowed: whole number from 0 to 65535" |
            | missing          | ["{\|\"host\": \"a\"}"]                                               | "f.jsonc:1: port: is required; allowed: whole number from 0 to 65535" |
            | unknown key      | ["{\"host\": \"a\", \"port\": 1,\|\|\"prot\": 2}"]                     | "f.jsonc:3: prot: is not a setting; allowed here: host, port, kv" |
            | unknown in group | ["{\"host\": \"a\", \"port\": 1,\|\"kv\": {\|\"uri\": \"a\", \"url\": \"http://127.0.0.1:1\"}}"] | "f.jsonc:3: kv.uri: is not a setting; allowed here: kv.url" |
            | bad address      | ["{\"host\": \"a\", \"port\": 1,\|\"kv\": {\"url\": \"here\"}}"]       | "f.jsonc:2: kv.url: Invalid URL; allowed: address such as http://127.0.0.1:2379" |
            | not an object    | ["[1]"]                                                             | "f.jsonc:1: (top level): Invalid input: expected object, received array; allowed here: host, port, kv" |

    Scenario: any text is parsed or rejected with the file's name
        Then parseSettings returns settings or throws an error that names the file, for any text
