Feature: Idle places

    Scenario Outline: <case>
        Given idle places keep place "p1" of "levy@7 urgent" for 100 ms
        When the idle places' clock moves on by <passed> ms
        Then idle places give "<taken>" for "<key>" where starting is "<start>"
        And idle places have given back "<returned>"

        Examples:
            | case                            | passed | key           | start   | taken | returned |
            | taken in time                   | 99     | levy@7 urgent | allowed | p1    |          |
            | given back when time is over    | 100    | levy@7 urgent | allowed | none  | p1       |
            | another class gets none         | 10     | levy@7 bulk   | allowed | none  |          |
            | another version gets none       | 10     | levy@6 urgent | allowed | none  |          |
            | too old to start a request      | 10     | levy@7 urgent | refused | none  |          |

    Scenario: A place that was taken is not given back by the store
        Given idle places keep place "p1" of "levy@7 urgent" for 100 ms
        Then idle places give "p1" for "levy@7 urgent" where starting is "allowed"
        When the idle places' clock moves on by 500 ms
        Then idle places have given back ""

    Scenario: Clearing gives every place back once
        Given idle places keep place "p1" of "levy@7 urgent" for 100 ms
        When idle places are cleared
        And the idle places' clock moves on by 500 ms
        Then idle places have given back "p1"
