Feature: An error in a timer ends neither the process nor a repeated task

    Scenario Outline: A task that throws <when>
        Given a task that is repeated each 100 ms on a guarded clock and throws <when>
        When 1000 ms pass on the guarded clock
        Then the task has run <runs> times and <logged> errors are logged and counted

        Examples:
            | when               | runs | logged |
            | never              | 11   | 0      |
            | at its second run  | 11   | 1      |
            | from its third run | 11   | 9      |

    Scenario: The others get their turn beside an item that throws
        When a step runs for the items "a odd b"
        Then it has run for "a b" and logged "odd"

    Scenario: A call that nothing waits for is rejected
        When a call that nothing waits for is rejected
        Then 1 rejection is logged and counted
