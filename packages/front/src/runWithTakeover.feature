Feature: A request whose engine is silent may be taken over by another engine

    # Guards against a request that ends because no other engine could be looked for, while its own engine goes on.
    Scenario: A search that fails ends nothing
        Given an exchange with engine "a"
        When engine "a" is silent and the search for another one fails
        And engine "a" sends the whole answer
        Then the request ends as "relayed" at engine "a"
        And the failed search of engine "a" is recorded

    # Guards against a retry that is spent for an engine that is no longer needed.
    Scenario Outline: A search knows whether it is still wanted: <case>
        Given an exchange with engine "a"
        When engine "a" is silent and another one is being looked for
        And engine "a" <then>
        Then the search is <wanted>

        Examples:
            | case          | then                    | wanted           |
            | stays silent  | stays silent            | wanted           |
            | sends a byte  | sends a byte            | no longer wanted |
            | has sent all  | sends the whole answer  | no longer wanted |
            | breaks off    | breaks off              | no longer wanted |
