Feature: An API key belongs to one account of the configuration

    Scenario Outline: <case>
        Then among the accounts "<accounts>" the key "<key>" belongs to "<name>"

        Examples:
            | case                                  | accounts     | key         | name |
            | the only key of an account            | a:k1         | k1          | a    |
            | one of several keys                   | a:k1,k2 b:k3 | k2          | a    |
            | another account's key                 | a:k1,k2 b:k3 | k3          | b    |
            | a key that nobody has                 | a:k1         | k2          | none |
            | no accounts                           |              | k1          | none |
            | an account without keys               | a: b:k1      | k1          | b    |
            | no key                                | a:k1         |             | none |
            | the name of an account                | a:k1         | a           | none |
            | the beginning of a key                | a:k12        | k1          | none |
            | a key in other letters                | a:k1         | K1          | none |
            | a name of JavaScript's objects        | a:k1         | constructor | none |
            | a key of two accounts: the first one  | b:k1 a:k1    | k1          | b    |

    Scenario Outline: <case>
        Then among the accounts "<accounts>" the name "<name>" is <result>

        Examples:
            | case                    | accounts  | name | result  |
            | a listed account        | a:k1 b:k2 | b    | known   |
            | an account that is gone | a:k1      | b    | unknown |
            | a key as a name         | a:k1      | k1   | unknown |

    # Guards against hosts that count a key listed twice for different accounts.
    Scenario: Whatever accounts share keys, hosts agree on the account of a key
        Then in 500 random configurations each key belongs to the first account that lists it
