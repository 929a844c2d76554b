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
            | draining, and the store is back from a copy     | entry:a,born=1 entry:a,draining,born=1@5 returned@9 restored:a,born=1@9 | 10 | | a     |
            | draining, and again what it wrote before        | entry:a,born=1 entry:a,draining,born=1@5 listed:a,born=1@9 | 10 | a | a     |
            | gone, and the store is back from a copy         | entry:a,born=1 removed:a@5 returned@9 restored:a,born=1@9 | 10 |      |       |
            | gone, and it writes again after the return      | entry:a,born=1 removed:a@5 returned@9 restored:a,born=1@9 entry:a,born=1@20 | 30 | a | a |
            | gone, and started anew after the copy           | entry:a,born=1 removed:a@5 returned@9 restored:a,born=2@9 | 10 | a    | a     |
            | gone long ago, and in the copy                  | entry:a,born=1 removed:a@5 entry:b removed:b@70000 restored:a,born=1@70001 | 70002 | a | a |
            | an old entry after a new one                    | entry:a,born=2 entry:a,born=1,draining@5             | 9    | a    | a     |
            | a message about an older incarnation            | entry:a,born=2 replaced:a,born=1@5                   | 9    | a    | a     |
