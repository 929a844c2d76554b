Feature: A request whose engine is silent may be taken over by another engine

    # Guards against a request that ends because no other engine could be looked for, while its own engine goes on.
    Scenario: A search that fails ends nothing
        Given an exchange with engine "a"
        When engine "a" is silent and the search for another one fails
        And engine "a" sends the whole answer
        Then the request ends as "relayed" at engine "a"
        And the failed search of engine "a" is recorded
