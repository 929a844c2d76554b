Feature: readRefusalReason maps an engine's HTTP status to the reason of a refusal

    Scenario Outline: status <status> gives <reason>
        Then readRefusalReason of [<status>] gives <reason>

        Examples:
            | status | reason       |
            | 404    | "not_loaded" |
            | 410    | "leaving"    |
            | 429    | "overloaded" |
            | 503    | "overloaded" |
            | 400    | undefined    |
            | 500    | undefined    |
            | 502    | undefined    |
            | 504    | undefined    |
