Feature: Real processes keep the promises under faults from outside

    Scenario Outline: <case>
        Given the program of the platform's hosts is built
        When the soak of seed <seed> runs for <seconds> s
        Then the soak found nothing
        And every line that the processes logged is readable

        Examples:
            | case            | seed | seconds |
            | a short walk    | 1    | 4       |

    Scenario: A request is found in the log by its id while the process serves
        Given the program of the platform's hosts is built
        When a soak fleet of 2 hosts serves a "streaming" request
        Then the log of its host tells the request's way by its id
