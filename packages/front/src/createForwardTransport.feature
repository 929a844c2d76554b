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

    Scenario: A head as large as a client may send it arrives, with the mark on top
        Given a helping host that answers with a length of 5 bytes
        When the host hands over a request whose client sent a header of 65400 bytes
        Then the helping host has received the mark of the host and the header of 65400 bytes

    Scenario: A client's own headers of the mark's names are not sent on
        Given a helping host that answers with a length of 5 bytes
        When the host hands over a request in which the client sent a mark of its own
        Then the helping host has received the mark of the host

    Scenario Outline: A refusal of the helping host with the outcome "<outcome>" is understood
        Given a helping host that refuses with <status>, the outcome "<outcome>" and a time of "<retryAfter>"
        When the host hands over a request to it
        Then the head states <isNotRun> as not run, the request's own id and a time of <ms>
        And no header that a client gets names an outcome

        Examples:
            | outcome | status | retryAfter | isNotRun | ms        |
            | not_run | 503    | 0.030      | true     | 30        |
            | not_run | 404    |            | true     | undefined |
            | unknown | 502    |            | false    | undefined |
            | ran     | 504    |            | false    | undefined |
            | later   | 503    | 1          | false    | 1000      |

    # Guards against a host that passes on an engine's word that it leaves, and goes on sending to it, when a helper asked it.
    Scenario Outline: An engine that says to the helping host that it <says> is known to the first host as "<known>"
        Given a helping host whose engine "i-7" says that it <says>
        When the host hands over a request to it
        Then the head names "<known>" as the engine that leaves, and clients get the engine's headers only

        Examples:
            | says   | known |
            | leaves | i-7   |
            | stays  | none  |

    Scenario Outline: An engine's answer with status <status> is never taken for a promise that the request did not run
        Given a helping host that passes on an engine's answer with status <status>
        When the host hands over a request to it
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
