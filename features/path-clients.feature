Feature: Standard clients work unchanged

    Background:
        Given a fleet of 2 gateways and 3 engines
        And adapter "levy" with versions "6,7" offered to caller "linz" as "urgent" with default "7"

    Scenario: The official openai package receives streamed and complete answers
        Then openai client of caller "linz" receives a complete chat of 5 tokens of "levy@6"
        And openai client of caller "linz" receives a streamed chat of 5 tokens of "levy@7"
        And openai client of caller "linz" receives a streamed completion of 5 tokens of "levy@7"
        And openai client of caller "linz" lists "levy@6,levy@7"
        And openai client of caller "linz" receives the error "unknown_adapter" with status 404 for "levy@9"

    Scenario: Every answer under load is complete and exact
        Then load of 40 requests a second for 2 seconds by "linz" on "levy@7,levy@6" is answered completely
