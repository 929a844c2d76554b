Feature: A stopping host closes only connections on which nothing is under way

    # Guards against answers that are cut because their last bytes still wait in this host when it closes idle connections.
    Scenario Outline: <case>
        Given a server for clients that answers "/large" with 8000000 bytes and never answers "/held"
        When a client sends "<sent>", reads nothing, and the idle connections are closed
        Then the connection <then>
        And the client gets <bytes> bytes of content

        Examples:
            | case                               | sent                                                          | then     | bytes   |
            | an answer that waits for a client  | GET /large HTTP/1.1\r\nHost: a\r\n\r\n                        | is open  | 8000000 |
            | a request without an answer yet    | GET /held HTTP/1.1\r\nHost: a\r\n\r\n                         | is open  | 0       |
            | a part of a request                | GET /held HTT                                                 | is open  | 0       |
            | a part of a second request         | GET / HTTP/1.1\r\nHost: a\r\n\r\n then GET /held HTT                | is open  | 0       |
            | a second request without an answer | GET / HTTP/1.1\r\nHost: a\r\n\r\n then GET /held HTTP/1.1\r\nHost: a\r\n\r\n | is open  | 0       |
            | nothing under way                  | GET / HTTP/1.1\r\nHost: a\r\n\r\n                             | has ended | 0      |
