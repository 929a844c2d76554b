Feature: The key-value client resolves lost replies and shares watches

    Scenario Outline: A write ends as <outcome>, <case>
        Given a KV client over a driver that answers <answers>
        When the KV client writes "own" with its nonce in it
        Then the KV write ended as "<outcome>" after <swaps> compare-and-swap calls

        Examples:
            | case                                | answers                                          | outcome     | swaps |
            | applied at once                     | ["applied"]                                      | applied     | 1     |
            | the lost write had taken effect     | ["lost", "conflict own"]                         | applied     | 2     |
            | others then added to it             | ["lost", "lost", "conflict own+theirs"]          | applied     | 3     |
            | the lost write had not taken effect | ["lost", "applied"]                              | applied     | 2     |
            | another write was applied instead   | ["lost", "conflict theirs"]                      | refused     | 2     |
            | another write came first            | ["conflict theirs"]                              | refused     | 1     |
            | the service is unavailable          | ["unsent"]                                       | unavailable | 1     |
            | the service fails after the loss    | ["lost", "unsent", "unsent", "unsent", "unsent"] | unknown     | 5     |

    Scenario: A write whose replies are all lost is resolved by reading the key back
        Given a KV client over a driver that answers ["lost", "lost", "lost"]
        And the KV driver reads "own+theirs"
        When the KV client writes "own" with its nonce in it
        Then the KV write ended as "applied" after 1 compare-and-swap call

    Scenario: All subscribers of a key share one watch
        Given a KV client over a driver that answers []
        When 3 subscribers watch the same key through the KV client
        Then the KV driver has 1 open watch and each subscriber received the value once
        When all subscribers of the KV client unsubscribe
        Then the KV driver has 0 open watches

    Scenario: An unresponsive watch is detected by reading the key, and replaced
        Given a KV client over a driver that answers []
        When 1 subscribers watch the same key through the KV client
        And the KV driver's value becomes "later" without an event on its watches
        Then the KV subscribers received ["present", "later"] within 3000 ms of the clock
        And the KV driver has 1 open watches
        And the KV driver opened 2 watches in total

    Scenario: A watch that delivers its events is kept open
        Given a KV client over a driver that answers []
        When 1 subscribers watch the same key through the KV client
        Then the KV subscribers received ["present"] within 9000 ms of the clock
        And the KV driver opened 1 watches in total
