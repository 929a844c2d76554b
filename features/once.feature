Feature: A keyed request runs at most once

    Scenario Outline: A levy invoice sent <manner> with one key runs at most once, <fault>
        Given an invoicing fleet of 3 gateways and 2 engines
        And the invoicing faults "<fault>"
        When the levy invoice is sent <manner> with one key
        Then the invoice ran <runs> times and every invoice answer matches the engines' records
        And the invoice answers are <answers>

        Examples: without a fault
            | fault | manner                    | runs | answers                 |
            | none  | twice in turn             | 1    | whole then replay       |
            | none  | twice through two gateways | 1   | whole then replay       |
            | none  | whole then streamed       | 1    | whole then replay       |
            | none  | streamed then whole       | 1    | whole then replay       |
            | none  | five times at once        | 1    | one whole               |

        Examples: each single fault
            | fault                  | manner                     | runs | answers                        |
            | lost KV reply          | twice through two gateways | 1    | whole then replay              |
            | lost KV request        | twice through two gateways | 1    | whole then replay              |
            | slow KV                | twice through two gateways | 1    | whole then replay              |
            | slow KV                | five times at once         | 1    | one whole                      |
            | lost KV reply          | five times at once         | 1    | one whole                      |
            | KV down                | twice through two gateways | 0    | kv_unavailable:not_run twice   |
            | no KV reply to writes  | twice through two gateways | 1    | whole then replay              |
            | KV gone at the claim   | twice through two gateways | 0    | kv_unknown:unknown then spent  |
            | cut stream             | twice through two gateways | 1    | whole then replay              |
            | cut stream for good    | twice through two gateways | 1    | stream_broken:ran then spent   |
            | silent engine          | twice through two gateways | 1    | whole then replay              |
            | refusing engine        | twice through two gateways | 1    | whole then replay              |

        Examples: two faults at once
            | fault                               | manner                     | runs | answers                        |
            | lost KV reply, cut stream           | twice through two gateways | 1    | whole then replay              |
            | lost KV reply, cut stream for good  | twice through two gateways | 1    | stream_broken:ran then spent   |
            | slow KV, lost KV reply              | five times at once         | 1    | one whole                      |
            | slow KV, cut stream for good        | twice through two gateways | 1    | stream_broken:ran then spent   |
            | lost KV request, silent engine      | twice through two gateways | 1    | whole then replay              |
            | KV down, cut stream                 | twice through two gateways | 0    | kv_unavailable:not_run twice   |
            | KV down, silent engine              | twice through two gateways | 0    | kv_unavailable:not_run twice   |

    Scenario: A different request with the same key is refused
        Given an invoicing fleet of 2 gateways and 1 engines
        When the levy invoice is sent twice in turn with one key
        And another invoice is sent with the same key
        Then the last invoice answer is "key_reused:not_run"
        And the invoice ran 1 times and every invoice answer matches the engines' records

    Scenario: Requests without a key are served while the key-value service is unavailable
        Given an invoicing fleet of 2 gateways and 1 engines
        And the levy invoice is sent twice in turn with one key
        And the invoicing faults "KV down"
        When an invoice lookup without a key is sent
        Then the last invoice answer is "whole"
        When the levy invoice is sent twice in turn with one key
        Then the last invoice answer is "replay"
        When the key-value service of the invoices is available again
        And a new levy invoice is sent until the key-value service is used again
        Then the last invoice answer is "whole"

    Scenario: A gateway's host fails between its claim and its run
        Given an invoicing fleet of 2 gateways and 1 engines
        And a host claims the invoice's key and fails
        When the levy invoice is sent twice through two gateways with one key
        Then the invoice ran 0 times and every invoice answer matches the engines' records
        And the last invoice answer is "key_in_progress:unknown"

    Scenario: The host that batches a key's claims stops between two repeated requests
        Given an invoicing fleet of 3 gateways and 1 engines
        And the levy invoice is sent twice in turn with one key
        When the first invoicing gateway stops
        And the levy invoice is sent through the other gateways with the same key
        Then the invoice ran 1 times and every invoice answer matches the engines' records
