Feature: Each connection of a client that the server closes by itself leaves a count

    # Guards against connections that close without an answer and without a trace in the host's metrics.
    Scenario Outline: <case>
        Given a server for clients with an idle time of 50 ms
        When a client sends "<sent>"
        Then the connection ends after "<answer>"
        And "<counted>" is counted once

        Examples:
            | case                             | sent                                                           | answer                   | counted |
            | an idle connection               | GET / HTTP/1.1\r\nHost: a\r\n\r\n                              | HTTP/1.1 204 No Content  | idle    |
            | bytes that are no request        | no request\r\n\r\n                                             | HTTP/1.1 400 Bad Request | HPE_    |
            | bytes that are none, after a GET | GET / HTTP/1.1\r\nHost: a\r\n\r\nno request\r\n\r\n            | HTTP/1.1 204 No Content  | HPE_    |
            | a head that is too large         | GET / HTTP/1.1\r\nHost: a\r\nLong: (70000 times a)\r\n\r\n     | HTTP/1.1 431             | HPE_    |
