Feature: Callers and peers connect by TLS where the settings say so

    Scenario: A request crosses callers' and peers' TLS
        Given a path fleet whose listeners use TLS
        And adapter "levy" with versions "7" offered to caller "linz" as "urgent" with default "7"
        When caller "linz" asks each gateway for "levy@7" by TLS
        Then path TLS answers are whole
        And path peers talked by TLS
