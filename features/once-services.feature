Feature: Requests to plain services are forwarded and keyed ones run at most once

    Scenario Outline: A request to a plain service, <case>, is answered with <result>
        Given an invoicing fleet of 2 gateways and 1 engines
        And a plain billing service with its first url <first>
        And the billing fault "<fault>"
        When <method> "<path>" is called <times> times with <key> on the billing service
        Then the billing service ran <runs> calls and every billing answer matches its record
        And the billing answers are "<result>"

        Examples:
            | case                            | first  | fault      | method | path     | times | key    | runs | result                                          |
            | not repeatable, with a key      | up     | none       | POST   | /orders  | 1     | a key  | 1    | 200                                             |
            | repeated under its key          | up     | none       | POST   | /orders  | 2     | a key  | 1    | 200, 200 replay                                 |
            | not repeatable, without a key   | up     | none       | POST   | /orders  | 1     | no key | 0    | key_required:not_run                            |
            | its reply lost                  | up     | lost reply | POST   | /orders  | 2     | a key  | 1    | upstream_failed:unknown, key_spent:unknown      |
            | its first url closed            | closed | none       | POST   | /orders  | 2     | a key  | 1    | 200, 200 replay                                 |
            | its connections silent          | up     | silence    | POST   | /orders  | 1     | a key  | 1    | 200                                             |
            | repeatable                      | up     | none       | GET    | /prices  | 1     | no key | 1    | 200                                             |
            | repeatable, its reply lost      | up     | lost reply | GET    | /prices  | 1     | no key | 2    | 200                                             |
            | repeatable, its first url closed | closed | none      | GET    | /prices  | 1     | no key | 1    | 200                                             |
            | draining                        | up     | draining   | GET    | /prices  | 1     | no key | 0    | no_upstream:not_run                             |
            | an unknown route                | up     | none       | GET    | /secrets | 1     | no key | 0    | not_found:not_run                               |
            | an unknown method of a route    | up     | none       | GET    | /orders  | 1     | no key | 0    | not_found:not_run                               |
            | KV down                         | up     | KV down    | POST   | /orders  | 1     | a key  | 0    | kv_unavailable:not_run                          |
            | repeatable, KV down             | up     | KV down    | GET    | /prices  | 1     | no key | 1    | 200                                             |

    Scenario: An unknown service is refused
        Given an invoicing fleet of 1 gateways and 1 engines
        When GET "/prices" is called 1 times with no key on the billing service
        Then the billing answers are "unknown_service:not_run"
