Feature: A watch of the operator API notices that its connection has gone silent

    # Guards against a command that waits for ever on a watch whose connection hears nothing any more.
    Scenario: The API sends a bookmark and then nothing
        Given an operator API that sends one bookmark on each watch and then nothing
        When a client that accepts 1000 ms of silence reads a watch
        Then it reads the bookmark, and the watch ends with an error
