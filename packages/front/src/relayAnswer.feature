Feature: A resumable stream goes on in whole events

    Scenario Outline: <case>
        Given a relay that sends <how>
        When the relay gets "<first>" and then "<second>"
        Then the client has "<sent>" and the last event is "<last>"

        Examples:
            | case                               | how          | first                   | second                | sent                                    | last |
            | pieces as they come                | as it comes  | id: 1\\ndata: a         | \\n\\nid: 2           | id: 1\\ndata: a\\n\\nid: 2              |      |
            | whole events only                  | whole events | id: 1\\ndata: a         | \\n\\nid: 2           | id: 1\\ndata: a\\n\\n                   | 1    |
            | several events in a piece          | whole events | id: 1\\n\\nid: 2\\n\\n  | id: 3\\n\\n           | id: 1\\n\\nid: 2\\n\\nid: 3\\n\\n       | 3    |
            | a part that is dropped at a resume | whole events | id: 1\\n\\nid: 2\\nda   | RESUME                | id: 1\\n\\n                             | 1    |
            | the part again after a resume      | whole events | id: 1\\n\\nid: 2\\nda   | RESUMEid: 2\\n\\n     | id: 1\\n\\nid: 2\\n\\n                  | 2    |
