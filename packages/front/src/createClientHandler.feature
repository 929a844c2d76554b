Feature: A host that serves a request for another host says truly what has become of it

    # Guards against a request that is sent to a second engine because a failure inside a host counts as "not run".
    Scenario Outline: A request that fails <when> is refused with <status>, as <outcome>
        Given a host that serves a request for another host, which fails <when>
        When the request arrives
        Then the other host gets <status>, as <outcome>

        Examples:
            | when                           | status | outcome |
            | while its body is read         | 413    | not_run |
            | after an engine may have begun | 500    | unknown |

    # Guards against a request that its client gives up, since a host whose configuration is old says that it has no route.
    Scenario Outline: A request without a route reaches a host that last heard of the configuration <age> ms ago
        Given a host whose configuration must be in force within 3000 ms, and was confirmed <age> ms ago
        When a request for another route arrives
        Then the client gets <status>

        Examples:
            | age  | status |
            | 0    | 404    |
            | 2700 | 404    |
            | 2701 | 503    |
            | 7000 | 503    |

    # Guards against a request that is taken late in a planned stop, and cut without an answer at its end.
    Scenario Outline: <kind>, <since> ms after a stop began that ends <until> ms later
        Given a host that stops since <since> ms, for <until> ms more, and an engine that answers nothing
        When <kind> with <budget> ms left arrives
        Then within <until> ms the client gets <status>

        Examples:
            | since | until | kind               | budget | status |
            | 6500  | 1000  | an unsafe request  | 3000   | 503    |
            | 6500  | 1000  | a safe request     | 3000   | 503    |
            | 3500  | 4000  | a stream           | 15000  | 503    |
            | 6500  | 1000  | an unsafe request  | 500    | 504    |
            | 500   | 1000  | an unsafe request  | 3000   | 503    |

    Scenario Outline: A request that waits for an engine when its host stops <when>
        Given a host that is not stopping, and no engine for <kind>
        When <kind> with 15000 ms left arrives
        And the host refuses what waits at the end of its stop
        Then within 1000 ms the client gets 503

        Examples:
            | when          | kind              |
            | and may repeat | a safe request   |
            | and may not   | an unsafe request |
            | for a stream  | a stream          |

    # Guards against a retry budget that each host on the way grants anew.
    Scenario Outline: A refusal, <outcome> after <sends> sends, states <stated>
        Given a host that gives a request of another host up, <outcome> after <sends> sends
        When the request arrives
        Then the other host gets <status>, as <outcome>
        And it is told of "<stated>" sends

        Examples:
            | outcome | sends | status | stated |
            | not_run | 0     | 503    | 0      |
            | not_run | 2     | 503    | 2      |
            | unknown | 2     | 502    | none   |

    # Guards against a request beyond its account's limit that runs, or whose refusal doesn't say when to return.
    Scenario Outline: A request beyond its account's limit is refused at once
        Given a host at which an account has used up its limit for <ready> ms
        When a request with a key of the account and <left> ms left arrives
        Then the client gets 429 as account_limit, to return after <after> s
        And the log states the account, the cost, the use and the limit

        Examples:
            | ready | left  | after |
            | 700   | 15000 | 0.7   |
            | 2500  | 15000 | 2.5   |
