Feature: The log never waits for its reader and stays bounded

    Scenario: A reader that stops does not hold up the process, and what is dropped is counted
        Given a JSON log of 10 lines a second and 8 waiting lines
        When its reader stops and 1000 lines of event 406 come in 100 s
        Then at most 8 lines wait
        When its reader goes on and a line of event 406 comes
        Then lines 107 say how many lines were dropped

    Scenario: A line is JSON with its number and what decided it
        Given a JSON log of 10 lines a second and 8 waiting lines
        When a line of event 400 comes with an id
        Then the last line has event 400, its name and the id

    Scenario: Failures have room where routine lines have none
        Given a JSON log of 10 lines a second and 8 waiting lines
        When its reader stops and 100 lines of event 406 come in 100 s
        And a warning of event 401 comes
        Then the last line that waits is event 401
