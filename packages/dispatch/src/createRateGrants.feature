Feature: Grants of requests to an engine that has named a limit

    # Guards against a limit that holds at one granter, and not where a substitute grants beside it.
    Scenario Outline: Granter <substitute> at <rate> a second, <demand> asked for a second, <before> sent before
        When a granter <substitute> is asked <demand> times a second for 60 s at a limit of <rate>, after <before> sends
        Then no 4 s from then on hold more than 1.5 times the limit and 5 requests
        And at least <used> in 100 of the limit is used

        Examples:
            | rate | demand | before | substitute       | used |
            | 1    | 25     | 0      | alone            | 90   |
            | 1.4  | 25     | 0      | and a substitute | 90   |
            | 1    | 100    | 8      | and a substitute | 85   |
            | 0.3  | 25     | 0      | and a substitute | 90   |
            | 0    | 25     | 5      | and a substitute | 0    |
            | 8    | 25     | 0      | alone            | 90   |
            | 20   | 100    | 30     | and a substitute | 90   |
            | 50   | 60     | 40     | alone            | 90   |
            | 5    | 2      | 0      | alone            | 28   |

    # Guards against urgent requests that wait while others take what there is.
    Scenario: More urgent requests go first, others get what these leave
        When requests of priority 0 come 2 times a second and of priority 3 20 times, for 60 s at a limit of 3
        Then at least 90 in 100 of those of priority 0 are granted
        And at least 60 in 100 of the rest of the limit goes to priority 3

    # Guards against refused clients that all return at the same moment.
    Scenario: Refused requests are told times that spread them over the rate
        When 5 requests come at once at a limit of 2
        Then 1 is granted and the others are told to return 500 ms after each other

    Scenario: A limit that is lowered or raised counts from the next request on
        When a granter is asked 20 times a second for 20 s at a limit of 1, then of 4, then of 0.5
        Then it grants 20, 80 and 10 requests, give or take 7
