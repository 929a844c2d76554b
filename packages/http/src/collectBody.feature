Feature: A body is read only up to its bound

    # Guards against a reader that keeps all bytes of a body that never ends.
    Scenario Outline: A body of <bytes> bytes in chunks of <chunk>, at most <most> allowed
        Given a body of <bytes> bytes in chunks of <chunk>
        When it is collected with at most <most> bytes
        Then the result is "<result>", after at most <read> bytes, and the body is closed

        Examples:
            | bytes    | chunk | most   | result    | read   |
            | 0        | 10    | 100    | 0 bytes   | 0      |
            | 100      | 10    | 100    | 100 bytes | 100    |
            | 101      | 101   | 100    | too large | 101    |
            | Infinity | 10    | 100    | too large | 110    |
            | Infinity | 65536 | 262144 | too large | 327680 |
