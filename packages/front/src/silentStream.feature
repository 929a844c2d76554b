Feature: A resumable stream ends early for no silence of its engine

    # Guards against a resumable stream that is cut or refused although its engine was only silent for a while.
    Scenario Outline: An engine that goes on is heard to the end: <case>
        Given a first engine that falls silent <where> and goes on
        And <count> other engines that <others>
        And <budget> for retries
        And a deadline of <deadline> ms
        When a client's stream runs with each silence of "<silences>" ms
        Then each stream's request ends as "relayed"
        And each client has got each event once and in order, without a gap of 3200 ms
        And no engine works on a request 400 ms after a later one has begun, or after the request's end

        Examples:
            | case                                            | where                                 | count | others             | budget   | deadline | silences       |
            | after an event, no other engine                 | after event 1                         | 0     | are sound          | a budget | 5000     | 1500 1900 2500 |
            | after an event, others full                     | after event 1                         | 2     | refuse as full     | a budget | 5000     | 1500 1900 2500 |
            | after an event, others unreachable              | after event 1                         | 2     | refuse connections | a budget | 5000     | 1500 1900 2500 |
            | after an event, others fail                     | after event 1                         | 2     | answer 500         | a budget | 5000     | 1500 1900 2500 |
            | after an event, others never begin              | after event 1                         | 2     | never begin        | a budget | 5000     | 1500 1900 2500 |
            | after an event, others sound, no retry left     | after event 1                         | 2     | are sound          | nothing  | 5000     | 1500 1900 2500 |
            | after an event, no other engine, no retry left  | after event 1                         | 0     | are sound          | nothing  | 5000     | 1500 1900 2500 |
            | before the head, no other engine                | before the head                       | 0     | are sound          | a budget | 5000     | 1500 1900 2500 |
            | before the head, others full                    | before the head                       | 2     | refuse as full     | a budget | 5000     | 1500 1900 2500 |
            | before the head, others unreachable             | before the head                       | 2     | refuse connections | a budget | 5000     | 1500 1900 2500 |
            | before the head, others fail                    | before the head                       | 2     | answer 500         | a budget | 5000     | 1500 1900 2500 |
            | before the head, others never begin             | before the head                       | 2     | never begin        | a budget | 5000     | 1500 1900 2500 |
            | before the head, others sound, no retry left    | before the head                       | 2     | are sound          | nothing  | 5000     | 1500 1900 2500 |
            | before the head, no other engine, no retry left | before the head                       | 0     | are sound          | nothing  | 5000     | 1500 1900 2500 |
            | after the head, no other engine                 | after the head                        | 0     | are sound          | a budget | 5000     | 1500 1900 2500 |
            | inside an event, no other engine                | inside event 2                        | 0     | are sound          | a budget | 5000     | 1500 1900 2500 |
            | inside an event, others never begin             | inside event 2                        | 2     | never begin        | a budget | 5000     | 1500 1900 2500 |
            | twice, no other engine                          | after event 1 and again after event 5 | 0     | are sound          | a budget | 9000     | 1500 1900 2500 |
            | twice, others never begin                       | after event 1 and again after event 5 | 2     | never begin        | a budget | 9000     | 1500 1900 2500 |
            | before the head, others sound                   | before the head                       | 2     | are sound          | a budget | 5000     | every 10       |
            | after an event, others sound                    | after event 1                         | 2     | are sound          | a budget | 5000     | every 10       |
            | inside an event, others sound                   | inside event 2                        | 2     | are sound          | a budget | 5000     | every 10       |
            | after an event, others slow to begin            | after event 1                         | 2     | begin after 600 ms | a budget | 5000     | every 10       |
            | inside an event, others slow to begin           | inside event 2                        | 2     | begin after 600 ms | a budget | 5000     | every 10       |

    # Guards against a request that stays at a second engine, or is taken from the first, once the first goes on.
    Scenario Outline: The first engine goes on before the second has begun: <case>
        Given a first engine that falls silent <where> and goes on, at the latest 100 ms after another is asked
        And 2 other engines that never begin
        And a budget for retries
        And a deadline of 5000 ms
        When a client's stream runs with each silence of "1500 1900 2500" ms
        Then each stream's request ends as "relayed"
        And each client has got each event once and in order, without a gap of 3200 ms
        And no engine works on a request 400 ms after a later one has begun, or after the request's end
        And the first engine has sent the whole stream, and no other works on it 400 ms after it has gone on

        Examples:
            | case            | where           |
            | before the head | before the head |
            | after the head  | after the head  |
            | after an event  | after event 1   |
            | inside an event | inside event 2  |

    # Guards against a stream that waits for an engine that doesn't go on, or that is cut while another engine serves it.
    Scenario Outline: Another engine finishes a stream whose engine doesn't go on: <case>
        Given a first engine that falls silent <where> and <then>
        And <count> other engines that <others>
        And a budget for retries
        And a deadline of <deadline> ms
        When a client's stream runs with each silence of "1500 1900 2500" ms
        Then each stream's request ends as "relayed"
        And each client has got each event once and in order, without a gap of 3200 ms
        And no engine works on a request 400 ms after a later one has begun, or after the request's end
        And another engine than the first has sent the end of each stream

        Examples:
            | case                                        | where           | then                                                    | count | others                                        | deadline |
            | never, before the head, one other           | before the head | stays silent                                            | 1     | are sound                                     | 5000     |
            | never, after the head, one other            | after the head  | stays silent                                            | 1     | are sound                                     | 5000     |
            | never, after an event, one other            | after event 1   | stays silent                                            | 1     | are sound                                     | 5000     |
            | never, inside an event, one other           | inside event 2  | stays silent                                            | 1     | are sound                                     | 5000     |
            | never, after an event, two others           | after event 1   | stays silent                                            | 2     | are sound                                     | 5000     |
            | never, the second falls silent after events | after event 1   | stays silent                                            | 1     | fall silent after event 5                     | 9000     |
            | never, the second falls silent inside one   | after event 1   | stays silent                                            | 1     | fall silent inside event 5                    | 9000     |
            | never, one of two others falls silent       | after event 1   | stays silent                                            | 2     | are sound, but one falls silent after event 5 | 9000     |
            | never, after an event, one of two refuses | after event 1 | stays silent | 2 | are sound, but one refuses as full | 5000 |
            | never, before the head, one of two refuses | before the head | stays silent | 2 | are sound, but one refuses as full | 5000 |
            | never, after an event, one of two unreachable | after event 1 | stays silent | 2 | are sound, but one refuses connections | 5000 |
            | never, before the head, one of two unreachable | before the head | stays silent | 2 | are sound, but one refuses connections | 5000 |
            | refuses while the second begins | before the head | refuses as full, at the latest 100 ms after another is asked | 1 | begin after 400 ms | 5000 |
            | breaks off, before the head                 | before the head | breaks off, at the latest 100 ms after another is asked | 1     | begin after 400 ms                            | 5000     |
            | breaks off, after an event                  | after event 1   | breaks off, at the latest 100 ms after another is asked | 1     | begin after 400 ms                            | 5000     |
            | breaks off, inside an event                 | inside event 2  | breaks off, at the latest 100 ms after another is asked | 1     | begin after 400 ms                            | 5000     |
            | breaks off while the second sends           | inside event 2  | breaks off, at the latest 500 ms after another is asked | 1     | begin after 400 ms                            | 5000     |

    # Guards against two engines that write on one request.
    Scenario Outline: An engine that is taken over from is closed once another one has begun: <case>
        Given a first engine that falls silent <where> and stays silent
        And 2 other engines that begin after 600 ms
        And a budget for retries
        And a deadline of 5000 ms
        When a client's stream runs with each silence of "1500 1900 2500" ms
        Then each stream's request ends as "relayed"
        And no engine works on a request 400 ms after a later one has begun, or after the request's end

        Examples:
            | case            | where           |
            | before the head | before the head |
            | after an event  | after event 1   |

    # Guards against requests that are refused as if no engine were left while the only one is silent for a while.
    Scenario Outline: A silent engine that is the only one gets further requests: <case>
        Given a first engine that falls silent before the head and stays silent
        And 0 other engines that are sound
        And a budget for retries
        And a deadline of 5000 ms
        And engines that run models
        When a second client's request comes <after> ms after the first one's
        Then the engine has got 2 requests

        Examples:
            | case          | after |
            | after 500 ms  | 500   |
            | after 1000 ms | 1000  |
            | after 1300 ms | 1300  |
            | after 3000 ms | 3000  |

    # Guards against engines that work on for a client that has left.
    Scenario Outline: No engine works on for a client that has left: <case>
        Given a first engine that falls silent <where> and stays silent
        And 2 other engines that never begin
        And a budget for retries
        And a deadline of 5000 ms
        When a client leaves its stream 100 ms after a second engine is asked, or after 2800 ms
        Then the exchanges with all engines have been cancelled at once, and none has begun since

        Examples:
            | case            | where           |
            | before the head | before the head |
            | after an event  | after event 1   |
            | inside an event | inside event 2  |
