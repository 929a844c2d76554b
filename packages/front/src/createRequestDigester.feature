Feature: Requests with the same method, host name, path, query and body have the same digest, and only these

    Scenario Outline: <case>
        Then digests of GET a.example /p?q=1 "b" and of <request> with key <key> are <result>

        Examples:
            | case              | request                   | key | result    |
            | the same          | GET a.example /p?q=1 "b"  | k1  | equal     |
            | another method    | POST a.example /p?q=1 "b" | k1  | different |
            | another host name | GET b.example /p?q=1 "b"  | k1  | different |
            | another path      | GET a.example /o?q=1 "b"  | k1  | different |
            | another query     | GET a.example /p?q=2 "b"  | k1  | different |
            | another body      | GET a.example /p?q=1 "c"  | k1  | different |
            | another key       | GET a.example /p?q=1 "b"  | k2  | different |

    Scenario: Without a key there is no digest
        Then without a key there is no digest
