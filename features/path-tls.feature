Feature: Callers and peers connect over TLS if it is configured

    Scenario: A request is served over TLS from the caller and between peers
        Given a fleet whose listeners use TLS
        And adapter "levy" with versions "7" offered to caller "linz" as "urgent" with default "7"
        When caller "linz" asks each gateway for "levy@7" over TLS
        Then the answers over TLS are complete
        And the peers communicated over TLS
        And an API that trusts the peers' certificate authority reports every gateway as ready
