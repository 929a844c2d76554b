Feature: Metrics and numbered events describe the system's behaviour

    Scenario: The event catalogue and its page agree
        Then the events of the catalogue and of "docs/EVENTS.md" agree, each with a meaning
        And all events used in the sources are in the catalogue

    Scenario: Every refusal and retry reason is exported from the start
        Given a fleet of 1 gateways and 1 engines
        Then the metrics of gateway 1 hold every refusal reason at 0
        And the metrics of gateway 1 hold "fulmarcleat_retries_total{reason="stream_broken"} 0"
        And the metrics of gateway 1 hold "fulmarcleat_requests_total{class="urgent"} 0"
        And the metrics of gateway 1 hold "fulmarcleat_batch_places_offered_total 0"

    Scenario: Requests are counted by class and loads by engine
        Given a fleet of 1 gateways and 1 engines
        And adapter "levy" with versions "6,7" offered to caller "linz" as "urgent" with default "7"
        When caller "linz" asks gateway 1 for model "levy@7" by "completion", whole
        Then the metrics of gateway 1 hold "fulmarcleat_requests_total{class="urgent"} 1"
        And the metrics of gateway 1 hold "fulmarcleat_time_to_first_token_ms_count{class="urgent"} 1"
        And the metrics of gateway 1 hold "fulmarcleat_load_stall_ms_count{class="urgent"} 1"
        And the metrics of gateway 1 hold "fulmarcleat_loads_total{engine="engine-1"} 1"

    Scenario: Logs and errors contain no secrets
        Given a fleet of 1 gateways and 1 engines that logs at every level
        Then the refusals of caller "linz" are:
            | case      | method | path            | headers                                            | body      | status | code            | step         |
            | wrong key | POST   | /v1/completions | {"authorization":"Bearer wrong-key-4711"}          | {}        | 401    | unauthenticated | authenticate |
            | bad key   | POST   | /v1/completions | {"authorization":"wrong-key-4711"}                 | {}        | 401    | unauthenticated | authenticate |
            | bad path  | GET    | /wrong-key-4711 | {}                                                 |           | 404    | not_found       | route        |
        And the refusals contain no key
        And the log contains event 400 and no key
