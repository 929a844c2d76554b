Feature: A resumable stream sends the client only complete events

    Scenario Outline: <case>
        Given a relay that sends <how>
        When the relay receives "<first>" and then "<second>"
        Then the client has received "<sent>" and the last event id is "<last>"

        Examples:
            | case                            | how             | first                              | second            | sent                               | last |
            | bytes as they arrive            | all bytes       | id: 1\\ndata: a                    | \\n\\nid: 2       | id: 1\\ndata: a\\n\\nid: 2         |      |
            | complete events only            | complete events | id: 1\\ndata: a                    | \\n\\nid: 2       | id: 1\\ndata: a\\n\\n              | 1    |
            | several events in one chunk     | complete events | id: 1\\n\\nid: 2\\n\\n             | id: 3\\n\\n       | id: 1\\n\\nid: 2\\n\\nid: 3\\n\\n  | 3    |
            | an incomplete event at a resume | complete events | id: 1\\n\\nid: 2\\nda              | RESUME            | id: 1\\n\\n                        | 1    |
            | the event again after a resume  | complete events | id: 1\\n\\nid: 2\\nda              | RESUMEid: 2\\n\\n | id: 1\\n\\nid: 2\\n\\n             | 2    |
            | events whose lines end in CRLF  | complete events | id: 1\\r\\n\\r\\nid: 2\\r\\n\\r\\n | id: 3\\r\\n       | id: 1\\r\\n\\r\\nid: 2\\r\\n\\r\\n | 2    |

    # Guards against a resumed stream whose bytes don't match the length that its first engine stated.
    Scenario Outline: The length of the first engine's answer is not forwarded for a stream that may resume: <case>
        Given a relay that sends <how>
        When the relay receives a head with the headers "<headers>" and the event "id: 1\\n\\n"
        Then the client has received the headers "<forwarded>"

        Examples:
            | case                      | how             | headers                          | forwarded                        |
            | another engine may go on  | complete events | Content-Length: 7, Request-Id: r | Request-Id: r                    |
            | no other engine may go on | all bytes       | Content-Length: 7, Request-Id: r | Content-Length: 7, Request-Id: r |

    # Guards against an answer whose signature is of an engine that sent none of its events.
    Scenario Outline: The head is that of the engine whose event is sent first: <case>
        Given a relay that sends complete events
        When the relay receives a head with the headers "Response-Seal: one" and the event "<first>"
        And the relay receives a head with the headers "Response-Seal: two" and the event "id: 2\\n\\n"
        Then the client has received the headers "<headers>"

        Examples:
            | case                                | first       | headers            |
            | the first engine sent a whole event | id: 1\\n\\n | Response-Seal: one |
            | the first engine sent part of one   | id: 1       | Response-Seal: two |

    # Guards against an event that a client has received before it is known for good where its stream began.
    Scenario Outline: The first event is held until its stream is recorded: <case>
        Given a relay that sends complete events
        When the first event "id: 1\\n\\n" is held, and "<rest>" follows
        Then the client has received "" and the last event id is "<last>"
        And the relay has asked for more bytes 0 times
        When the hold ends
        Then the client has received "<sent>" and the last event id is "<last>"
        And the relay has asked for more bytes 1 times
        And the answer <state>

        Examples:
            | case                              | rest                           | sent                               | last | state     |
            | nothing follows                   | nothing                        | id: 1\\n\\n                        | 1    | goes on   |
            | more events follow                | id: 2\\n\\n, id: 3\\n\\n       | id: 1\\n\\nid: 2\\n\\nid: 3\\n\\n | 3    | goes on   |
            | its engine ends it meanwhile      | id: 2\\n\\n, the end           | id: 1\\n\\nid: 2\\n\\n             | 2    | has ended |

    # Guards against a stream that goes on from events that its client never got, or has the head of another engine.
    Scenario Outline: A first event whose stream isn't recorded is discarded, and the stream begins anew: <case>
        Given a relay that sends complete events
        When the first event "id: 1\\n\\n" is held, and "<rest>" follows
        And the hold ends without a record
        Then the client has received "" and the last event id is ""
        And the answer goes on
        When the relay receives a head with the headers "Response-Seal: two" and the event "id: 1\\n\\n"
        Then the client has received "id: 1\\n\\n" and the last event id is "1"
        And the client has received the headers "Response-Seal: two"

        Examples:
            | case                         | rest                 |
            | nothing follows              | nothing              |
            | a part of an event follows   | id: 2                |
            | more events follow           | id: 2\\n\\n, id: 3 |
            | its engine ends it meanwhile | id: 2\\n\\n, the end |
