Feature: Requests that crash engines, by a part of their prompts or by themselves, stop reaching them

    # Guards against requests of one kind that crash one engine after the other, at whichever host they come.
    Scenario Outline: <hosts> hosts, <faults>
        Given a fleet of <hosts> hosts whose <faults>
        When clients send requests for 10 s, and for 30 s more with 15 in 100 that crash engines
        Then at most 3 of these reach engines later than 3000 ms after the fifth crash
        And from 6000 ms after the fifth crash on sound requests begin at least half as often as before
        And no sound request is refused for its prompt

        Examples:
            | hosts | faults                                             |
            | 8     | messages all arrive                                |
            | 8     | messages are lost, 30 in 100                       |
            | 8     | messages are late by up to 800 ms                  |
            | 8     | store falls silent                                 |
            | 8     | engines also crash for other reasons, each 2000 ms |
            | 40    | messages all arrive                                |
            | 40    | messages are lost, 30 in 100                       |
            | 40    | store falls silent                                 |

    # Guards against bursts of such requests, which crash several engines at once, taken for a loss of power.
    Scenario Outline: <copies> at a time, <hosts> hosts, <faults>
        Given a fleet of <hosts> hosts that get requests that crash engines <copies> at a time, and whose <faults>
        When clients send requests for 10 s, and for 30 s more with 15 in 100 that crash engines
        Then at most 3 of these reach engines later than 3000 ms after the fifth crash
        And no sound request is refused for its prompt

        Examples:
            | hosts | copies | faults                       |
            | 8     | 6      | messages all arrive          |
            | 8     | 12     | messages all arrive          |
            | 8     | 6      | messages are lost, 30 in 100 |
            | 8     | 6      | store falls silent           |
            | 40    | 6      | messages all arrive          |

    # Guards against sound requests that are refused since their engines failed for other reasons.
    Scenario Outline: Engines that crash for other reasons hold no prompt back: <faults>
        Given a fleet of 8 hosts whose <faults>
        When all engines lose power 5 times while clients send sound requests for 40 s
        Then no request is refused for its prompt

        Examples:
            | faults                                             |
            | messages all arrive                                |
            | engines also crash for other reasons, each 1000 ms |

    Scenario: A host that joins later refuses such requests as well
        Given a fleet of 8 hosts whose messages all arrive
        When clients send requests for 10 s, and for 10 s more with 15 in 100 that crash engines
        And another host joins, and clients send requests for 10 s with 50 in 100 that crash engines
        Then at most 0 of these reach engines later than 3000 ms after the fifth crash

    # Guards against a part that is refused for good, and against engines that are crashed by every host to find out.
    Scenario Outline: After a time one request shows whether the part <still> crashes engines
        Given a fleet of 8 hosts whose messages all arrive
        When clients send requests for 10 s, and for 10 s more with 15 in 100 that crash engines
        And 300 s pass, and these requests crash engines <still>
        And clients send requests for 10 s more with 15 in 100 of that kind
        Then they crash <crashes> engines more, and the last of them is <end>

        Examples:
            | still   | crashes | end      |
            | still   | 1       | refused  |
            | no-more | 0       | answered |

    # Guards against hosts that take each other's word for an answer as a new one, so that the part is never found.
    Scenario: A part that was answered before and now crashes engines is found after a minute
        Given a fleet of 8 hosts whose messages all arrive
        When clients send requests for 10 s with 15 in 100 of a kind that crashes no engine yet
        And clients send requests for 75 s more with 10 in 100 of that kind
        Then none of these reaches an engine in the last 10 s

    # Guards against one request that crashes engine after engine, as often as it comes and at whichever host.
    Scenario Outline: A request that crashes engines, <copies> at a time, <kinds> of that kind; <hosts> hosts, <faults>
        Given a fleet of <hosts> hosts before a plain service, <kinds> of whose requests crash engines, <copies> at a time, and whose <faults>
        When clients send requests for 10 s, and for 30 s more with 15 in 100 that crash engines
        Then at most 3 of each of these reach engines later than 3000 ms after its third crash
        And no sound request is refused as one that crashes engines

        Examples:
            | hosts | kinds | copies | faults                                             |
            | 8     | 1     | 1      | messages all arrive                                |
            | 8     | 2     | 1      | messages all arrive                                |
            | 8     | 1     | 6      | messages all arrive                                |
            | 8     | 1     | 2      | messages are lost, 30 in 100                       |
            | 8     | 1     | 1      | messages are late by up to 800 ms                  |
            | 8     | 1     | 1      | store falls silent                                 |
            | 8     | 1     | 1      | engines also crash for other reasons, each 2000 ms |
            | 8     | 2     | 4      | store falls silent                                 |
            | 40    | 1     | 1      | messages all arrive                                |
            | 40    | 2     | 4      | messages are lost, 30 in 100                       |
            | 40    | 1     | 1      | store falls silent                                 |

    # Guards against sound requests that are refused since their engines failed for other reasons.
    Scenario Outline: Engines of a plain service that crash for other reasons hold no request back: <faults>
        Given a fleet of 8 hosts before a plain service, 0 of whose requests crash engines, 1 at a time, and whose <faults>
        When all engines lose power 5 times while clients send sound requests for 40 s
        Then no sound request is refused as one that crashes engines

        Examples:
            | faults                                             |
            | messages all arrive                                |
            | engines also crash for other reasons, each 1000 ms |
