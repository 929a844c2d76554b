Feature: A soak client resumes a stream that broke off

    Scenario Outline: <case>
        Then resuming a stream with the text "<text>", <state>, gives "<next>"

        Examples:
            | case                         | text             | state                         | next     |
            | after one event              | id: 1\\n\\n      | broken off                    | r1+ r1 1 |
            | inside an event              | id: 1\\n\\nid: 2 | broken off                    | r1+ r1 1 |
            | a whole stream               | id: 1\\n\\n      | complete                      |          |
            | before the first event       | id: 1            | broken off                    |          |
            | without time                 | id: 1\\n\\n      | broken off with no time left  |          |
            | again, with an event more    | id: 5\\n\\n      | broken off after a resumption | r1+ r0 5 |
            | again, without an event more |                  | broken off after a resumption | r1+ r0 4 |
