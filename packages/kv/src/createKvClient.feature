Feature: The client of the key-value service

    Scenario Outline: A write whose reply is lost ends as <outcome>, <case>
        Given a KV client over a driver that answers <answers>
        When the KV client writes "own" with its nonce in it
        Then the KV write ended as "<outcome>" after <swaps> swaps

        Examples:
            | case                            | answers                                    | outcome     | swaps |
            | at once                         | ["applied"]                                | applied     | 1     |
            | it had taken effect             | ["lost", "conflict own"]                   | applied     | 2     |
            | others wrote on top             | ["lost", "lost", "conflict own+theirs"]    | applied     | 3     |
            | it had not taken effect         | ["lost", "applied"]                        | applied     | 2     |
            | another wrote instead           | ["lost", "conflict theirs"]                | refused     | 2     |
            | another was faster              | ["conflict theirs"]                        | refused     | 1     |
            | the service is away             | ["unsent"]                                 | unavailable | 1     |
            | it went away after the loss     | ["lost", "unsent", "unsent", "unsent", "unsent"] | unknown | 5  |

    Scenario: A write whose every reply is lost is found by reading back
        Given a KV client over a driver that answers ["lost", "lost", "lost"]
        And the KV driver reads "own+theirs"
        When the KV client writes "own" with its nonce in it
        Then the KV write ended as "applied" after 1 swaps

    Scenario: One watch for each key, whoever asks
        Given a KV client over a driver that answers []
        When 3 subscribers watch the same key through the KV client
        Then the KV driver has 1 open watch and each subscriber saw the value once
        When all subscribers of the KV client end
        Then the KV driver has 0 open watches

    Scenario: A watch that fell silent is found by reading the key, and replaced
        Given a KV client over a driver that answers []
        When 1 subscribers watch the same key through the KV client
        And the KV driver's value becomes "later" without a word on its watches
        Then the KV subscribers saw ["present", "later"] within 3000 ms of the clock
        And the KV driver has 1 open watches
        And the KV driver opened 2 watches in all

    Scenario: A watch that works is kept
        Given a KV client over a driver that answers []
        When 1 subscribers watch the same key through the KV client
        Then the KV subscribers saw ["present"] within 9000 ms of the clock
        And the KV driver opened 1 watches in all
