Feature: Requests are handed to another host and their answers come back whole

    Scenario Outline: An answer with <answer> to <method> comes back byte for byte
        Given a helping host that answers with <answer>
        When the host hands over a <method> request with <sent> bytes
        Then the helping host has received the request as the client sent it
        And the answer has come back with its headers, the framing "<framing>" and <received> bytes

        Examples:
            | answer                    | method | sent    | framing        | received |
            | a length of 5 bytes       | GET    | 0       | length         | 5        |
            | a length of 5 bytes       | POST   | 5       | length         | 5        |
            | a length of 0 bytes       | DELETE | 0       | length         | 0        |
            | a length of 5 bytes       | HEAD   | 0       | length         | 0        |
            | a length of 1048576 bytes | POST   | 1048576 | length         | 1048576  |
            | chunks of 5 bytes         | PUT    | 3       | chunks         | 5        |
            | chunks of 0 bytes         | GET    | 0       | chunks         | 0        |
            | chunks of 1048576 bytes   | POST   | 1048576 | chunks         | 1048576  |
            | no body                   | POST   | 9       | connection_end | 0        |

    Scenario: The helping host learns the time left and the last event of a resumed stream
        Given a helping host that answers with a length of 5 bytes
        When the host hands over a request with 1234.5 ms left that resumes a stream after event "7"
        Then the helping host reads a deadline of 1234 ms and the last event "7"
        And it has received no more headers than these and the client's

    Scenario: A client's own headers of the mark's names are not sent on
        Given a helping host that answers with a length of 5 bytes
        When the host hands over a request in which the client sent a mark of its own
        Then the helping host has received the mark of the host

    Scenario: Each event of a stream arrives before the next is written
        Given a helping host that writes each event once the last has arrived
        When the host hands over a request for a stream of 300 events
        Then the stream has arrived whole

    Scenario: A helping host stops writing while the first host does not read
        Given a helping host that writes 4096 events of 16384 bytes, each once the connection takes more
        When the host hands over a request and stops reading at the first event
        Then the helping host comes to a stop before the end
        When the host reads on
        Then all events have arrived in order

    Scenario Outline: A request ends as "<kind>" if <case>
        Given a helping host that <helper>
        When the host hands over a request
        Then the handover ends as "<kind>" after "<text>"

        Examples:
            | case                             | helper                                   | kind   | text  |
            | nobody listens                   | does not listen                          | unsent |       |
            | the host does not know the key   | this host has no key for                 | unsent |       |
            | it closes without an answer      | closes the connection without an answer  | broken |       |
            | it breaks within a length        | breaks off within a length               | broken | hello |
            | it breaks between chunks         | breaks off between chunks                | broken | hello |

    Scenario Outline: The helping host's response closes if the host cancels <when>
        Given a helping host that answers <when>
        When the host hands over a request and cancels it <when>
        Then the helping host's response closes before its end, and the host hears no more of it

        Examples:
            | when                     |
            | before the answer's head |
            | within the answer        |
            | while it does not read   |

    Scenario Outline: A refusal of the helping host with the outcome "<outcome>" is understood
        Given a helping host that refuses with <status>, the outcome "<outcome>" and a time of "<retryAfter>"
        When the host hands over a request
        Then the head states <isNotRun> as not run, the request's own id and a time of <ms>
        And no header that a client gets names an outcome

        Examples:
            | outcome | status | retryAfter | isNotRun | ms        |
            | not_run | 503    | 0.030      | true     | 30        |
            | not_run | 404    |            | true     | undefined |
            | unknown | 502    |            | false    | undefined |
            | ran     | 504    |            | false    | undefined |
            | later   | 503    | 1          | false    | 1000      |

    Scenario Outline: An engine's answer with status <status> is never taken for a promise that the request did not run
        Given a helping host that passes on an engine's answer with status <status>
        When the host hands over a request
        Then the head is of the engine's answer with status <status>, without load, limit or engine

        Examples:
            | status |
            | 200    |
            | 408    |
            | 421    |
            | 429    |
            | 502    |
            | 503    |

    Scenario: A request for another host at the address did not run
        Given a helping host that answers with a length of 5 bytes
        When the host hands over a request for "front-9" at its address
        Then the head states true as not run, the request's own id and a time of undefined
        And the helping host has handled nothing

    Scenario: Consecutive requests use one connection
        Given a helping host that answers as each request asks
        When the host hands over "length, chunks, none, refusal, length, chunks" one after another
        Then each answer belongs to its request
        And 1 connection has carried them

    Scenario: An answer never belongs to another request
        Given a helping host that answers as each request asks
        When the host hands over 10 times 30 requests at once, some of which it cancels and some of which break
        Then each answer belongs to its request
