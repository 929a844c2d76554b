Feature: A reply without end costs a bounded number of bytes

    # Guards against a process that runs out of memory, and takes all its requests with it, since one peer never stops.
    Scenario Outline: <call> whose reply is <status> and <body> without end
        Given a server that answers <status> with <body> without end
        When <call> is sent to it
        Then the call fails as "<code>"
        And the server has written at most 128 MB

        Examples:
            | call                  | status | body         | code            |
            | a service call        | 200    | bytes        | upstream_failed |
            | a service call        | 500    | bytes        | upstream_failed |
            | an order              | 200    | bytes        | upstream_failed |
            | an order              | 500    | bytes        | upstream_failed |
            | a report              | 200    | bytes        | upstream_failed |
            | a stream              | 200    | an event     | stream_broken   |
            | a stream              | 200    | a line       | stream_broken   |
            | a stream              | 429    | bytes        | upstream_failed |
            | a host list           | 200    | bytes        | peer_failed     |
            | a description         | 200    | bytes        | upstream_failed |
            | a read of a key       | 200    | bytes        | kv_unavailable  |
            | a watch               | 200    | a line       | kv_unavailable  |
