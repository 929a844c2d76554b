Feature: Peers prove that they know the key

    Scenario Outline: <case>
        Given peerserver listens as "entry-1" with the key "k"<over>
        When peerserver is asked by a client with key "<key>" that looks for "<host>"<how>
        Then peerserver ask <result>

        Examples:
            | case                      | over     | key   | host    | how      | result       |
            | the right key             |          | k     | entry-1 |          | is answered  |
            | another key               |          | other | entry-1 |          | is refused   |
            | another host              |          | k     | entry-2 |          | is refused   |
            | the right key by TLS      | over TLS | k     | entry-1 | over TLS | is answered  |
            | another key by TLS        | over TLS | other | entry-1 | over TLS | is refused   |
            | plain TCP where TLS is on | over TLS | k     | entry-1 |          | is refused   |
            | TLS where plain TCP is on |          | k     | entry-1 | over TLS | is refused   |

    Scenario: A recorded proof does not open a second connection
        Given peerserver listens as "entry-1" with the key "k"
        When peerserver client's proof is recorded and sent again
        Then peerserver answers the first and closes the second

    Scenario: Bytes of a stranger change nothing
        Given peerserver listens as "entry-1" with the key "k"
        Then peerserver survives any bytes and still answers

    Scenario Outline: A peer that falls silent is reached by a new connection <when>
        Given a silent peer is asked twice by a client <heartbeats>
        Then the silent peer saw <count> connections

        Examples:
            | when                                   | heartbeats         | count |
            | at the next ask                        | without heartbeats | 2     |
            | once its silence has lasted too long   | with heartbeats    | 1     |
