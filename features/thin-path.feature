Feature: A request is served from the caller to the engine

    Scenario Outline: <interface> answers with exactly the requested adapter version, <mode>
        Given a fleet of 2 gateways and 3 engines
        And adapter "levy" with versions "6,7" offered to caller "linz" as "urgent" with default "7"
        When caller "linz" asks gateway <gateway> for model "<model>" by "<interface>", <mode>
        Then the answer is complete and ran "<ran>"
        And the engines ran only "<ran>"

        Examples:
            | interface  | mode     | gateway | model  | ran    |
            | completion | whole    | 1       | levy@6 | levy@6 |
            | completion | streamed | 2       | levy@7 | levy@7 |
            | chat       | whole    | 2       | levy   | levy@7 |
            | chat       | streamed | 1       | levy@6 | levy@6 |
