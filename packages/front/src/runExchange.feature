Feature: An exchange with an engine ends as the engine's answer ended

    # Guards against a stream that broke off inside an event reaching the client as a complete response.
    Scenario Outline: A stream that ends inside an event is never delivered as complete: <case>
        Given an engine whose stream is "<body>", its end stated by <framing>, before it closes the connection
        When a client's request is relayed <how> from the engine
        Then the exchange ends as "<exchange>"
        And the client has received "<received>" as <completeness> response

        Examples:
            | case                                  | body                                     | framing        | how             | exchange | received                                 | completeness  |
            | inside an event, by connection end    | id: 1\\ndata: a\\n\\nid: 2\\ndata:       | connection_end | by whole events | broken   | id: 1\\ndata: a\\n\\n                    | an incomplete |
            | inside an event, as bytes arrive      | id: 1\\ndata: a\\n\\nid: 2\\ndata:       | connection_end | as bytes arrive | broken   | id: 1\\ndata: a\\n\\nid: 2\\ndata:       | an incomplete |
            | inside an event, after its last chunk | id: 1\\ndata: a\\n\\nid: 2\\ndata:       | chunks         | by whole events | broken   | id: 1\\ndata: a\\n\\n                    | an incomplete |
            | inside an event, at its length        | id: 1\\ndata: a\\n\\nid: 2\\ndata:       | length         | by whole events | broken   | id: 1\\ndata: a\\n\\n                    | an incomplete |
            | inside its first event                | id: 1\\nda                               | connection_end | by whole events | broken   |                                          | an incomplete |
            | after its id line                     | id: 1\\ndata: a\\n\\nid: 2\\n            | connection_end | by whole events | broken   | id: 1\\ndata: a\\n\\n                    | an incomplete |
            | after an event, by connection end     | id: 1\\ndata: a\\n\\n                    | connection_end | by whole events | relayed  | id: 1\\ndata: a\\n\\n                    | a complete    |
            | after an event, as bytes arrive       | id: 1\\ndata: a\\n\\n                    | connection_end | as bytes arrive | relayed  | id: 1\\ndata: a\\n\\n                    | a complete    |
            | after an event, after its last chunk  | id: 1\\ndata: a\\n\\n                    | chunks         | by whole events | relayed  | id: 1\\ndata: a\\n\\n                    | a complete    |
            | after a long event, as bytes arrive   | id: 1\\ndata: aaaaaaaaaaaaaaaaaaaa\\n\\n | connection_end | as bytes arrive | relayed  | id: 1\\ndata: aaaaaaaaaaaaaaaaaaaa\\n\\n | a complete    |
            | after an event and an empty line      | id: 1\\ndata: a\\n\\n\\n                 | connection_end | by whole events | relayed  | id: 1\\ndata: a\\n\\n\\n                 | a complete    |
            | after an event with CRLF line ends    | id: 1\\r\\ndata: a\\r\\n\\r\\n           | connection_end | by whole events | relayed  | id: 1\\r\\ndata: a\\r\\n\\r\\n           | a complete    |
            | inside an event with CRLF line ends   | id: 1\\r\\n\\r\\nid: 2\\r\\n             | connection_end | by whole events | broken   | id: 1\\r\\n\\r\\n                        | an incomplete |
            | a stream without events               |                                          | connection_end | by whole events | relayed  |                                          | a complete    |

    # Guards against a sound engine that counts as silent because the client takes no more bytes.
    Scenario: An engine is not silent while the client takes nothing
        Given an exchange whose engine may be silent for 1000 ms
        When the client takes nothing for 5000 ms after the first event
        Then the engine has counted as silent 0 times
        When the client takes bytes again and the engine sends none for 2500 ms
        Then the engine has counted as silent 2 times
