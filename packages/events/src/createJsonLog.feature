Feature: The JSON log never blocks on a slow reader and uses bounded memory

    Scenario: A reader that stops does not block the process, and dropped lines are counted
        Given a JSON log with a limit of 10 lines a second and 8 buffered lines
        When its reader stops and 1000 lines of event 406 are logged in 100 s
        Then at most 8 lines are buffered
        When its reader resumes and a line of event 406 is logged
        Then lines of event 107 report how many lines were dropped

    Scenario: A line is JSON with the event's number, its message and its fields
        Given a JSON log with a limit of 10 lines a second and 8 buffered lines
        When a line of event 400 is logged with an id
        Then the last line has event 400, its message and the id

    Scenario: A warning is buffered when the buffer is full for info lines
        Given a JSON log with a limit of 10 lines a second and 8 buffered lines
        When its reader stops and 100 lines of event 406 are logged in 100 s
        And a warning of event 401 is logged
        Then the last buffered line is event 401
