Feature: A request that other hosts refuse is sent on within the bounds of one host

    # Guards against a retry budget that each host on the way grants anew, and against sends without end.
    Scenario Outline: Hosts refuse a request, <refusals>; then this host reaches engines <again>
        Given a host that reaches no engine, and a retry budget of <retries> sends
        When the hosts that a request is handed to refuse it, <refusals>, and this host reaches engines <again>
        Then the hosts are told of "<told>" sends
        And the request ends as "<end>" after <sends> sends by this host

        Examples:
            | refusals                   | retries | again      | told  | end                            | sends |
            | after 0, 0 and 0 sends     | 0       | not at all | 0 0 0 | gave_up not_run no_path        | 0     |
            | after 1, 1 and 1 sends     | 0       | not at all | 0 1 1 | gave_up not_run no_path        | 0     |
            | after 2, 3 and 3 sends     | 0       | not at all | 0 2 3 | gave_up not_run no_path        | 0     |
            | unseen, after 2, unseen    | 0       | not at all | 0 0 2 | gave_up not_run no_path        | 0     |
            | after 7, 8 and 8 sends     | 0       | not at all | 0 7   | gave_up not_run refused        | 0     |
            | after 1 send               | 0       | after that | 0     | gave_up not_run no_retry_left  | 0     |
            | after 1 send               | 1       | after that | 0     | answer                         | 1     |
            | after 0 sends              | 0       | after that | 0     | answer                         | 1     |
            | unseen                     | 0       | after that | 0     | answer                         | 1     |

    # Guards against a stream that two hosts take from a silent engine at once, so that one engine too many runs it.
    Scenario Outline: The first host that a stream is handed to sends nothing for <silent ms> ms
        Given a host that reaches no engine, and a retry budget of 10 sends
        When the host that a stream with a goal of <goal ms> ms is handed to is silent for <silent ms> ms
        Then the stream has been handed to <hosts> hosts

        Examples:
            | goal ms | silent ms | hosts |
            | 100     | 900       | 1     |
            | 100     | 1400      | 1     |
            | 100     | 1600      | 2     |
            | 1000    | 2900      | 1     |
            | 1000    | 3100      | 2     |

    # Guards against a request that adds to the retry budgets of several hosts.
    Scenario Outline: A request that is handed over <when> engine, and refused <refusal>, is counted once
        Given a host that reaches no engine, and a retry budget of 0 sends
        When a request is handed over <when> engine, and refused <refusal>
        Then the hosts are told that it is counted: "<told>"

        Examples:
            | when                       | refusal       | told        |
            | before this host looks for | unseen        | no no no    |
            | before this host looks for | after 0 sends | no yes yes  |
            | after this host found no   | unseen        | yes yes yes |
            | after this host found no   | after 0 sends | yes yes yes |

    Scenario Outline: A request from another host that <counted> adds to the retry budget unless it is counted
        Given a host that reaches no engine, and a retry budget of 0 sends
        When another host hands a request over that <counted>, and its engine rejects it once
        Then the request ends as "<end>" after <sends> sends by this host

        Examples:
            | counted       | end                           | sends |
            | is counted    | gave_up not_run no_retry_left | 1     |
            | isn't counted | answer                        | 2     |
