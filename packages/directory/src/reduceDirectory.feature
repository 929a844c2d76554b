Feature: A host knows which engines may be given requests

    Scenario Outline: <case>
        Then the directory after <messages> at <at> ms uses "<used>" and knows "<known>"

        Examples:
            | case                                              | messages                                                        | at   | used | known |
            | a listed engine                                   | entry:a                                                         | 0    | a    | a     |
            | a draining engine                                 | entry:a entry:a,draining@5                                      | 9    |      | a     |
            | a removed entry                                   | entry:a removed:a@5                                             | 9    |      |       |
            | removed while the store was away                  | entry:a returned@5 removed:a@6                                  | 9    | a    | a     |
            | removed while the store was away, and not back    | entry:a returned@5 removed:a@6 tick@2400                        | 2400 |      |       |
            | back within the time                              | entry:a returned@5 removed:a@6 entry:a@900 tick@2400            | 2400 | a    | a     |
            | a list without it after the store's return        | entry:a entry:b returned@5 listed:b@6                           | 9    | a b  | a b   |
            | a list without it                                 | entry:a entry:b listed:b@6                                      | 9    | b    | b     |
            | another engine has its address                    | entry:a,born=1 replaced:a,born=1@5                              | 9    |      | a     |
            | it started anew under its id                      | entry:a,born=1 replaced:a,born=1@5 entry:a,born=2@6             | 9    | a    | a     |
            | an old entry after a new one                      | entry:a,born=2 entry:a,born=1,draining@5                        | 9    | a    | a     |
            | word of an older incarnation                      | entry:a,born=2 replaced:a,born=1@5                              | 9    | a    | a     |
