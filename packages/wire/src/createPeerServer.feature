Feature: Peers prove to each other that they know the shared key

    Scenario Outline: <case>
        Given the peer server listens as "entry-1" with the key "k"<over>
        When a client with the key "<key>" that expects "<host>" sends a request<how>
        Then the peer request <result>

        Examples:
            | case                      | over     | key   | host    | how      | result      |
            | the correct key           |          | k     | entry-1 |          | is answered |
            | a different key           |          | other | entry-1 |          | is refused  |
            | a different host          |          | k     | entry-2 |          | is refused  |
            | the correct key over TLS  | over TLS | k     | entry-1 | over TLS | is answered |
            | a different key over TLS  | over TLS | other | entry-1 | over TLS | is refused  |
            | plain TCP to a TLS server | over TLS | k     | entry-1 |          | is refused  |
            | TLS to a plain TCP server |          | k     | entry-1 | over TLS | is refused  |

    Scenario: A replayed proof is rejected on a second connection
        Given the peer server listens as "entry-1" with the key "k"
        When the proof of a peer client is recorded and sent again
        Then the peer server accepts the first connection and closes the second

    Scenario: Arbitrary bytes from an unverified client do not affect the server
        Given the peer server listens as "entry-1" with the key "k"
        Then the peer server accepts any bytes and still replies

    Scenario Outline: The connection to an unresponsive peer is replaced <when>
        Given a client <heartbeats> sends two requests to an unresponsive peer
        Then the unresponsive peer received <count> connections

        Examples:
            | when                         | heartbeats         | count |
            | by the next request          | without heartbeats | 2     |
            | only after the silence limit | with heartbeats    | 1     |

    Scenario: The error of a refused connection names the socket's error, so that callers can tell it from silence
        Then a request to a port without a listener fails as not run because of "ECONNREFUSED"
