Feature: An exchange shows the speed of its engine only where nothing else makes it early or late

    Scenario Outline: <case>
        When an observed exchange <kind> gets <answer>
        Then it records <samples> and gaps <gaps>

        Examples:
            | case                                             | kind               | answer                                   | samples              | gaps  |
            | a stream                                         | for a stream       | head@100 event@110 event@132 event@160   | first_byte 110       | 22 28 |
            | the head comes before the prompt is read         | for a stream       | head@5 event@110                         | first_byte 110       |       |
            | two events in one piece                          | for a stream       | head@100 event@100 events@144            | first_byte 100       | 22    |
            | a part of an event                               | for a stream       | head@100 event@100 part@110 event@122    | first_byte 100       | 22    |
            | a client that takes nothing for a while          | for a slow client  | head@100 event@110 event@900             | first_byte 110       |       |
            | a resumed stream, of which more is read          | for a resumed one  | head@100 event@110 event@132             |                      | 22    |
            | an engine at which requests wait                 | for a stream       | full@100 event@110 event@132             |                      | 22    |
            | a refusal                                        | for a stream       | refusal@5 part@5 end@6                   |                      |       |
            | another engine at the address                    | for a stream       | other@100 event@110 event@132            |                      |       |
            | a generation that is not streamed                | for no stream      | head@900 part@900 end@901                |                      |       |
            | a plain service                                  | for plain work     | head@40 part@40 end@41                   | work 41              |       |
            | a plain service that is full                     | for plain work     | full@90 part@90 end@91                   |                      |       |
            | an answer that breaks off                        | for plain work     | head@40 fail@41                          |                      |       |
