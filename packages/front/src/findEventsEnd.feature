Feature: The end of the last complete event of an event stream

    Scenario Outline: <case>
        Then findEventsEnd of [<bytes>] gives <end>

        Examples:
            | case                           | bytes                          | end |
            | nothing                        | ""                             | 0   |
            | part of an event               | "id: 1\\ndata: a\\n"           | 0   |
            | one event                      | "id: 1\\n\\n"                  | 7   |
            | an event and part of another   | "id: 1\\n\\nid: 2"             | 7   |
            | two events                     | "id: 1\\n\\nid: 2\\n\\n"       | 14  |
            | an event and an empty line     | "id: 1\\n\\n\\n"               | 8   |
            | lines that end in CRLF         | "id: 1\\r\\n\\r\\nid: 2\\r\\n" | 9   |
            | CRLF cut between its two bytes | "id: 1\\r\\n\\r"               | 0   |
            | lines that end in CR           | "id: 1\\r\\rid: 2\\r"          | 7   |
            | line ends that are mixed       | "id: 1\\r\\n\\nid: 2\\n\\r\\n" | 16  |
