Feature: checkAccounts compares answers and runs with the accounts of all configurations

    Background:
        Given the store held accounts "a:k1 b:k2" at 0 s, "a: b:k1,k2" at 10 s and "a:k3 b:k2" at 20 s

    # A configuration is in force 4 s after the store holds it, at the latest.
    Scenario Outline: <case>
        When a client sends <request> at <sent> s, and <result>
        Then the check of accounts reports "<violation>"

        Examples:
            | case                                      | request                     | sent | result                 | violation |
            | a run for the key's account               | the key k1                  | 1    | it runs for a          |           |
            | a run for another account                 | the key k1                  | 1    | it runs for b          | ACCOUNT   |
            | a run for no account                      | the key k1                  | 1    | it runs for none       | ACCOUNT   |
            | a moved key, not yet in force             | the key k1                  | 13   | it runs for a          |           |
            | a moved key, in force early               | the key k1                  | 11   | it runs for b          |           |
            | a moved key, in force                     | the key k1                  | 15   | it runs for a          | ACCOUNT   |
            | a moved key, at a host cut from the store | the key k1 amid faults      | 15   | it runs for a          |           |
            | a moved key, at a strict host             | the key k1 amid 3 s of them | 18   | it runs for a          | ACCOUNT   |
            | a moved key, at a strict host before      | the key k1 amid 3 s of them | 16   | it runs for a          |           |
            | a revoked key, in force                   | the key k1                  | 25   | it runs for b          | ACCOUNT   |
            | a key that was never valid                | the key k9 amid faults      | 25   | it runs for a          | ACCOUNT   |
            | a request without a key                   | no key amid faults          | 25   | it runs for a          | ACCOUNT   |
            | a key that reaches an engine              | the key k1                  | 1    | it runs for a with key | KEY       |
            | an open route                             | an open request             | 1    | it runs for none       |           |
            | an open route, for an account             | an open request             | 1    | it runs for a          | ACCOUNT   |
            | an open route, refused for its key        | an open request             | 1    | it gets 401            | KEY       |
            | an unknown key                            | the key k9                  | 1    | it gets 401            |           |
            | a valid key                               | the key k1                  | 1    | it gets 401            | KEY       |
            | a valid key, amid faults                  | the key k1 amid faults      | 9    | it gets 401            | KEY       |
            | a key before it is in force               | the key k3                  | 23   | it gets 401            |           |
            | a key after it is in force                | the key k3                  | 25   | it gets 401            | KEY       |
            | a moved key, always valid                 | the key k2                  | 12   | it gets 401            | KEY       |
            | a request that ran and was refused        | the key k9                  | 1    | it gets 401 and runs   | ACCOUNT REFUSED |
            | below the limit                           | the key k2                  | 1    | it gets 429            | LIMIT     |
            | an account without a limit                | the key k1                  | 1    | it gets 429            | LIMIT     |

    # Account b may use 10,000 tokens a second and 5000 at once: 93,500 in 8 s, and the slack of 110,000.
    Scenario Outline: <case>
        When <requests> requests with the key k2 come from <from> to <to> s, and every tenth gets status <status>
        Then the check of accounts reports "<violation>"

        Examples:
            | case                           | requests | from | to | status | violation |
            | usual demand, refused          | 20       | 0    | 4  | 429    | LIMIT     |
            | more than usual demand         | 30       | 0    | 4  | 429    |           |
            | as much as a window may hold   | 203      | 0    | 7  | 200    |           |
            | more than a window may hold    | 204      | 0    | 7  | 200    | LIMIT     |
            | as much again in later windows | 450      | 0    | 18 | 200    |           |
