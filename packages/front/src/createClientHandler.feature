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
