Feature: createIdlePlacePool

    Scenario Outline: <case>
        Given an idle place pool holds place "p1" for key "levy@7 urgent" for 100 ms
        When the idle place pool's clock advances by <elapsed> ms
        Then the idle place pool returns "<acquired>" for key "<key>" if starting is "<start>"
        And the idle place pool has released "<released>"

        Examples:
            | case                           | elapsed | key           | start   | acquired | released |
            | acquired in time               | 99      | levy@7 urgent | allowed | p1       |          |
            | released once the time is over | 100     | levy@7 urgent | allowed | none     | p1       |
            | another class gets none        | 10      | levy@7 bulk   | allowed | none     |          |
            | another version gets none      | 10      | levy@6 urgent | allowed | none     |          |
            | too late to start a request    | 10      | levy@7 urgent | refused | none     |          |

    Scenario: A place that was acquired is not released by the pool
        Given an idle place pool holds place "p1" for key "levy@7 urgent" for 100 ms
        Then the idle place pool returns "p1" for key "levy@7 urgent" if starting is "allowed"
        When the idle place pool's clock advances by 500 ms
        Then the idle place pool has released ""

    Scenario: releaseAll releases each place once
        Given an idle place pool holds place "p1" for key "levy@7 urgent" for 100 ms
        When the idle place pool releases all places
        And the idle place pool's clock advances by 500 ms
        Then the idle place pool has released "p1"
