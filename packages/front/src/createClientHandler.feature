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
