Feature: What a client account uses over all hosts stays within its rate limit, and is never refused below it

    # Guards against refusals of accounts that use what they usually do: each is lost to the caller.
    Scenario Outline: Usual demand on <hosts> hosts at <rate> tokens a second, <spread>
        Given <hosts> hosts and an account of <rate> tokens a second with a burst of <burst>
        When it sends 1 times its usual demand for 60 s, <spread>
        Then no request is refused once the fleet has run for 10 s

        Examples:
            | hosts | rate   | burst   | spread        |
            | 6     | 29000  | 116000  | on all hosts  |
            | 86    | 29000  | 116000  | on all hosts  |
            | 86    | 29000  | 116000  | on two hosts  |
            | 86    | 29000  | 116000  | moving        |
            | 86    | 120000 | 240000  | skewed        |
            | 86    | 640000 | 640000  | on all hosts  |
            | 300   | 29000  | 116000  | on all hosts  |
            | 86    | 29000  | 29000   | on all hosts  |

    # Guards against hosts that each grant what they believe is left, and against limits that are not used up.
    Scenario Outline: A burst on <hosts> hosts at <rate> tokens a second, <spread>, <fault>
        Given <hosts> hosts and an account of <rate> tokens a second with a burst of <burst>
        When it sends 1 times its usual demand for 10 s, <spread>
        And it sends 7.5 times its usual demand for 25 s, <spread>, while <fault>
        Then every window stays within the bound
        And at least <used> in 100 of the limit of the account is used

        Examples:
            | hosts | rate   | burst  | spread       | fault                                     | used |
            | 6     | 29000  | 58000  | on all hosts | nothing fails                             | 95   |
            | 86    | 29000  | 58000  | on all hosts | nothing fails                             | 95   |
            | 86    | 29000  | 58000  | on two hosts | nothing fails                             | 95   |
            | 86    | 29000  | 58000  | moving       | nothing fails                             | 95   |
            | 300   | 29000  | 58000  | skewed       | nothing fails                             | 95   |
            | 86    | 640000 | 640000 | on all hosts | nothing fails                             | 95   |
            | 86    | 29000  | 58000  | on all hosts | the granter is killed                     | 85   |
            | 86    | 640000 | 640000 | on all hosts | the granter is killed                     | 85   |
            | 86    | 29000  | 58000  | on all hosts | the granter freezes for 3 s               | 85   |
            | 86    | 640000 | 640000 | on all hosts | the granter freezes for 3 s               | 85   |
            | 6     | 29000  | 58000  | on all hosts | the granter freezes for 3 s               | 85   |
            | 86    | 29000  | 58000  | on all hosts | the granter hears nothing for 5 s         | 85   |
            | 86    | 29000  | 58000  | on all hosts | the granter is not heard for 5 s          | 85   |
            | 86    | 640000 | 640000 | on all hosts | the granter hears nothing for 5 s         | 85   |
            | 86    | 640000 | 640000 | on all hosts | the granter is not heard for 5 s          | 85   |
            | 86    | 29000  | 58000  | on granters  | the granter hears nothing for 5 s         | 70   |
            | 86    | 640000 | 640000 | on granters  | the granter is not heard for 5 s          | 70   |
            | 86    | 29000  | 58000  | on all hosts | another host is not heard for 5 s         | 85   |
            | 86    | 29000  | 58000  | on all hosts | the substitute is killed                  | 85   |
            | 86    | 29000  | 58000  | on all hosts | all hosts start again                     | 85   |
            | 86    | 640000 | 640000 | on all hosts | all hosts start again                     | 85   |
            | 86    | 29000  | 58000  | on all hosts | hosts are added                           | 85   |
            | 86    | 29000  | 58000  | on all hosts | messages are lost, 5 in 100               | 80   |
            | 86    | 640000 | 640000 | on all hosts | messages are lost, 5 in 100               | 80   |
            | 86    | 29000  | 58000  | on all hosts | messages are late by up to 60 ms          | 40   |
            | 86    | 640000 | 640000 | on all hosts | messages are late by up to 60 ms          | 40   |

    # Guards against a substitute that has to refuse usual demand.
    Scenario Outline: Usual demand at <rate> tokens a second goes on while <fault>
        Given 86 hosts and an account of <rate> tokens a second with a burst of <burst>
        When it sends 1 times its usual demand for 10 s, on all hosts
        And it sends 1 times its usual demand for 25 s, on all hosts, while <fault>
        Then at most <refused> in 100 requests are refused

        Examples:
            | rate   | burst  | fault                             | refused |
            | 29000  | 116000 | the granter is killed             | 5       |
            | 29000  | 116000 | the granter freezes for 3 s       | 5       |
            | 29000  | 116000 | the granter hears nothing for 5 s | 5       |
            | 29000  | 116000 | the granter is not heard for 5 s  | 5       |
            | 29000  | 116000 | messages are late by up to 15 ms  | 0       |
            | 29000  | 116000 | messages are late by up to 60 ms  | 15      |
            | 640000 | 640000 | the granter is killed             | 1       |
            | 640000 | 640000 | the granter freezes for 3 s       | 1       |
            | 640000 | 640000 | hosts are added                   | 1       |
            | 640000 | 640000 | messages are late by up to 15 ms  | 0       |
            | 640000 | 640000 | messages are late by up to 60 ms  | 15      |

    # Guards against requests that are held up by one time-out after the other.
    Scenario Outline: No request waits longer than both time-outs, while <fault>
        Given 86 hosts and an account of 640000 tokens a second with a burst of 640000
        When it sends 1 times its usual demand for 10 s, on all hosts, while <fault>
        Then no request has waited longer than 125 ms for its decision

        Examples:
            | fault                               |
            | the granter is killed               |
            | messages are late by up to 60 ms    |
            | messages are lost, 30 in 100        |

    # Guards against a limit that stays as it was after the configuration has changed.
    Scenario Outline: A limit of <before> is changed to <after>
        Given 86 hosts and an account of <before> tokens a second with a burst of 58000
        When it sends 10 times its usual demand for 12 s, on all hosts
        And the limit becomes <after> tokens a second
        And it sends 10 times its usual demand for 20 s, on all hosts
        Then every window from 8 s after the change on stays within the bound
        And from then on at least 95 in 100 of the limit of the account is used

        Examples:
            | before | after  |
            | 100000 | 29000  |
            | 29000  | 100000 |

    # Guards against an account that takes from another one.
    Scenario: Another account's burst takes nothing from an account's allowance
        Given 86 hosts and two accounts of 29000 tokens a second with a burst of 116000
        When the first sends its usual demand for 30 s while the second sends 7.5 times its usual demand
        Then no request of the first is refused once the fleet has run for 10 s

    # Guards against deployments without limits that pay for them.
    Scenario: An account without a limit causes no message and no timer
        Given 6 hosts and an account without a limit
        When it sends 100 requests
        Then all are unlimited and no message was sent

    # Guards against allowance that is lost with each request that engines refuse, and against one given back twice over.
    Scenario: The cost of requests that did not run is returned
        Given 6 hosts and an account of 29000 tokens a second with a burst of 58000
        When it sends 7.5 times its usual demand for 20 s, on all hosts, and every second granted request does not run
        Then what has run stays within the bound in every window
        And at least 90 in 100 of the limit has run

    # Guards against refused clients that return all at once.
    Scenario: Refused requests are told times that follow each other
        Given 1 hosts and an account of 10 requests a second with a burst of 2
        When 6 requests come at once
        Then 3 are granted and the others are told to return 100 ms after each other
