Feature: A host tracks which engines can receive requests

    Scenario Outline: <case>
        Then the directory after <messages> at <at> ms uses "<used>" and knows "<known>"

        Examples:
            | case                                            | messages                                             | at   | used | known |
            | a listed engine                                 | entry:a                                              | 0    | a    | a     |
            | a draining engine                               | entry:a entry:a,draining@5                           | 9    |      | a     |
            | a removed entry                                 | entry:a removed:a@5                                  | 9    |      |       |
            | removed after a store outage                    | entry:a returned@5 removed:a@6                       | 9    | a    | a     |
            | removed after a store outage, grace period over | entry:a returned@5 removed:a@6 tick@2400             | 2400 |      |       |
            | listed again within the grace period            | entry:a returned@5 removed:a@6 entry:a@900 tick@2400 | 2400 | a    | a     |
            | missing from the list after a store outage      | entry:a entry:b returned@5 listed:b@6                | 9    | a b  | a b   |
            | missing from the list                           | entry:a entry:b listed:b@6                           | 9    | b    | b     |
            | its address belongs to another engine           | entry:a,born=1 replaced:a,born=1@5                   | 9    |      | a     |
            | restarted with the same id                      | entry:a,born=1 replaced:a,born=1@5 entry:a,born=2@6  | 9    | a    | a     |
            | an old entry after a new one                    | entry:a,born=2 entry:a,born=1,draining@5             | 9    | a    | a     |
            | a message about an older incarnation            | entry:a,born=2 replaced:a,born=1@5                   | 9    | a    | a     |
