Feature: Invalid input is refused immediately and causes no upstream request or load

    Background:
        Given a fleet of 2 gateways and 3 engines
        And adapter "levy" with versions "6,7" offered to caller "linz" as "urgent" with default "7"
        And adapter "arcade" with versions "1" offered to caller "graz" as "bulk" with default "1"

    Scenario: Every refusal has a typed body with the correct outcome
        Then the refusals of caller "linz" are:
            | case                 | method | path                 | headers                                       | body                                                     | status | code                 | step          |
            | malformed JSON       | POST   | /v1/completions      | {}                                            | {"model":                                                | 400    | bad_request          | read body     |
            | not an object        | POST   | /v1/completions      | {}                                            | []                                                       | 400    | bad_request          | read body     |
            | empty body           | POST   | /v1/completions      | {}                                            |                                                          | 400    | bad_request          | read body     |
            | no prompt            | POST   | /v1/completions      | {}                                            | {"model":"levy@7"}                                       | 400    | bad_request          | read body     |
            | no messages          | POST   | /v1/chat/completions | {}                                            | {"model":"levy@7","messages":[]}                         | 400    | bad_request          | read body     |
            | unknown role         | POST   | /v1/chat/completions | {}                                            | {"model":"levy@7","messages":[{"role":"x","content":""}]} | 400    | bad_request          | read body     |
            | two answers          | POST   | /v1/completions      | {}                                            | {"model":"levy@7","prompt":"a","n":2}                    | 400    | bad_request          | read body     |
            | no tokens            | POST   | /v1/completions      | {}                                            | {"model":"levy@7","prompt":"a","max_tokens":0}           | 400    | bad_request          | read body     |
            | unsupported field    | POST   | /v1/completions      | {}                                            | {"model":"levy@7","prompt":"a","echo":true}              | 400    | bad_request          | read body     |
            | tools                | POST   | /v1/chat/completions | {}                                            | {"model":"levy@7","messages":[{"role":"user","content":""}],"tools":[{}]} | 400 | bad_request | read body |
            | bad model            | POST   | /v1/completions      | {}                                            | {"model":"levy@7@8","prompt":"a"}                        | 400    | bad_request          | read model    |
            | unknown adapter      | POST   | /v1/completions      | {}                                            | {"model":"nobody@7","prompt":"a"}                        | 404    | unknown_adapter      | resolve model |
            | unknown version      | POST   | /v1/completions      | {}                                            | {"model":"levy@8","prompt":"a"}                          | 404    | unknown_adapter      | resolve model |
            | not offered          | POST   | /v1/completions      | {}                                            | {"model":"arcade@1","prompt":"a"}                        | 403    | not_offered          | resolve model |
            | compressed body      | POST   | /v1/completions      | {"content-encoding":"gzip"}                   | {"model":"levy@7","prompt":"a"}                          | 415    | unsupported_encoding | read body     |
            | no key               | POST   | /v1/completions      | {"authorization":""}                          | {"model":"levy@7","prompt":"a"}                          | 401    | unauthenticated      | authenticate  |
            | wrong key            | POST   | /v1/completions      | {"authorization":"Bearer wrong-key-4711"}     | {"model":"levy@7","prompt":"a"}                          | 401    | unauthenticated      | authenticate  |
            | another scheme       | POST   | /v1/completions      | {"authorization":"Basic a2V5LW9mLWxpbno="}    | {"model":"levy@7","prompt":"a"}                          | 401    | unauthenticated      | authenticate  |
            | wrong key for models | GET    | /v1/models           | {"authorization":"Bearer wrong-key-4711"}     |                                                          | 401    | unauthenticated      | authenticate  |
            | bad deadline         | POST   | /v1/completions      | {"fulmarcleat-deadline-ms":"soon"}            | {"model":"levy@7","prompt":"a"}                          | 400    | bad_request          | read headers  |
            | deadline of nothing  | POST   | /v1/completions      | {"fulmarcleat-deadline-ms":"0"}               | {"model":"levy@7","prompt":"a"}                          | 400    | bad_request          | read headers  |
            | bad priority         | POST   | /v1/completions      | {"fulmarcleat-priority":"first"}              | {"model":"levy@7","prompt":"a"}                          | 400    | bad_request          | read headers  |
            | bad repeatable       | POST   | /v1/completions      | {"fulmarcleat-repeatable":"maybe"}            | {"model":"levy@7","prompt":"a"}                          | 400    | bad_request          | read headers  |
            | key missing          | POST   | /v1/completions      | {"fulmarcleat-repeatable":"false"}            | {"model":"levy@7","prompt":"a"}                          | 400    | key_required         | read headers  |
            | key with spaces      | POST   | /v1/completions      | {"idempotency-key":"a b"}                     | {"model":"levy@7","prompt":"a"}                          | 400    | bad_request          | read headers  |
            | unknown path         | POST   | /v1/embeddings       | {}                                            | {}                                                       | 404    | not_found            | route         |
            | wrong method         | GET    | /v1/completions      | {}                                            |                                                          | 405    | method_not_allowed   | route         |
            | wrong method, models | DELETE | /v1/models           | {}                                            |                                                          | 405    | method_not_allowed   | route         |
        And gateway 1 counted each refusal
        And the refusals contain no key
        And no upstream received a request

    Scenario: Incomplete or malformed requests are refused immediately and the connection closes
        Given a gateway that receives headers within 300 ms, bodies in 300 ms and at most 2048 bytes
        Then the bytes sent by caller "linz" are refused:
            | case             | bytes                                                                   | status | code              |
            | not HTTP         | HELLO~~                                                           | 400    | bad_request       |
            | slow headers     | POST /v1/completions HTTP/1.1~host: a~                            | 408    | headers_timeout   |
            | large headers    | GET /v1/models HTTP/1.1~host: a~x: LARGE~~                  | 431    | headers_too_large |
            | slow body        | POST /v1/completions HTTP/1.1~host: a~AUTH~content-length: 90~~{"model" | 408 | body_timeout |
            | announced size   | POST /v1/completions HTTP/1.1~host: a~AUTH~content-length: 9000~~{"model" | 413 | body_too_large |
            | chunked and long | POST /v1/completions HTTP/1.1~host: a~AUTH~transfer-encoding: chunked~~4000~LARGE | 413 | body_too_large |
        And no upstream received a request

    Scenario: A caller's model list contains only its offers
        Then the models listed for caller "linz" at gateway 2 are "levy@6,levy@7"
        And the models listed for caller "graz" at gateway 2 are "arcade@1"
