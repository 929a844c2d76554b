Feature: The rules for where streams begin follow routes and engines

    Scenario Outline: <case>
        Given the rules "<rules>" on record
        When the engines are "<engines>" and the record is <age> s old
        Then the rules to record are "<recorded>"

        Examples:
            | case                               | rules                   | engines   | age | recorded              |
            | none on record                     | none                    | v1:3 v2:3 | 0   | v1:3 v2:3 / unknown   |
            | nothing has changed                | v1:3                    | v1:3      | 90  | none                  |
            | the first one settles              | v1:3 / unknown          | v1:3      | 29  | none                  |
            | the first one has settled          | v1:3 / unknown          | v1:3      | 30  | v1:3                  |
            | a version comes                    | v1:6                    | v1:5 v2:1 | 0   | v1:5 v2:1 / v1:6      |
            | its share grows a little           | v1:5 v2:1 / v1:6        | v1:4 v2:2 | 9   | none                  |
            | its share grows                    | v1:5 v2:1 / v1:6        | v1:2 v2:4 | 9   | v1:2 v2:4 / v1:5 v2:1 / v1:6 |
            | former ones are still needed       | v1:5 v2:1 / v1:6        | v1:5 v2:1 | 59  | none                  |
            | former ones are no longer needed   | v1:5 v2:1 / v1:6        | v1:5 v2:1 | 60  | v1:5 v2:1             |
            | a version leaves                   | v1:3 v2:3               | v2:3      | 0   | v2:3 / v1:3 v2:3      |
            | a version comes back               | v1:3 / v1:3 v2:3        | v1:3 v2:4 | 5   | v1:3 v2:3 / v1:3      |
            | a third version                    | v1:3 v2:3               | v1:2 v2:2 v3:2 | 0 | v1:2 v2:2 v3:2 / v1:3 v2:3 |

    # Guards against a list that grows without a bound while engines come and go.
    Scenario: Versions that keep changing
        Given the rules "v1:1" on record
        When 100 versions replace each other
        Then there are at most 16 rules, the last of which is "unknown"

    # Guards against a stream that goes on at another software version than the one that began it: hosts know rules of
    # different ages.
    Scenario: Successive lists never give different origins
        Given engines that come, leave and come back in 300 random histories
        When a stream begins by one list and is resumed by the next
        Then both lists give the same origin, or one of them gives none

    Scenario Outline: <share> in 100 streams begin at v2 by the weights "<rule>"
        Given the rules "<rule>" on record
        When 10000 streams begin by the newest rule
        Then <share> in 100 begin at v2, give or take 2

        Examples:
            | rule      | share |
            | v1:3 v2:3 | 50    |
            | v1:5 v2:1 | 17    |
            | v1:1 v2:9 | 90    |
