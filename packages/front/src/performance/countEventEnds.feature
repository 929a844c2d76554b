Feature: The events that end in a part of a stream

    Scenario Outline: <case>
        Then countEventEnds of the text <text> is <count>

        Examples:
            | case                        | text                                      | count |
            | no end                      | "id: 1"                                   | 0     |
            | one event                   | "id: 1\\n\\n"                               | 1     |
            | several and a beginning     | "id: 1\\n\\nid: 2\\n\\nid"                    | 2     |
            | lines that end in CRLF      | "id: 1\r\\ndata: x\r\\n\r\\nid: 2\r\\n\r\\n"   | 2     |
            | lines that end in CR        | "id: 1\r\r"                               | 1     |
