Feature: A feed of keys never goes back, whichever source it is taken from

    # A put is KEY=VALUE@REVISION, a removal is -KEY@REVISION; "to 7" is the revision up to which all changes are known.
    Scenario Outline: <case>
        Given a feed that has taken the list "<list>" to <listed>
        When it takes <taken>
        Then it holds "<held>" to <known>, and its listener has seen the same
        And a follower that knows all changes up to <follower> gets <news>

        Examples:
            | case                                | list         | listed | taken                            | held         | known | follower | news              |
            | changes                             | a=1@1 b=1@2  | 2      | the changes "a=2@3 -b@4" to 4    | a=2@3        | 4     | 2        | "a=2@3 -b@4"      |
            | only the newest change of a key     | a=1@1        | 1      | the changes "a=2@2 a=3@3" to 3   | a=3@3        | 3     | 1        | "a=3@3"           |
            | nothing new for the follower        | a=1@1        | 1      | the changes "a=2@2" to 2         | a=2@2        | 2     | 2        | nothing           |
            | changes that are known already      | a=1@1 b=2@5  | 5      | the changes "a=0@3 b=3@6" to 6   | a=1@1 b=3@6  | 6     | 5        | "b=3@6"           |
            | an answer of a source that is behind | a=1@1 b=2@5 | 5      | the changes "a=0@3" to 4         | a=1@1 b=2@5  | 5     | 5        | nothing           |
            | a list of a source that is behind   | a=1@1 b=2@5  | 5      | the list "a=0@1" to 4            | a=1@1 b=2@5  | 5     | 5        | nothing           |
            | a list that is ahead                | a=1@1 b=2@5  | 5      | the list "c=1@7" to 7            | c=1@7        | 7     | 5        | the list          |
            | a list after a return from a copy   | a=1@1 b=2@5  | 5     | the list "c=1@2:3" to 2:4        | c=1@2:3      | 2:4   | 5        | the list          |
            | a late list of the former epoch     | a=1@2:3      | 2:4   | the list "a=0@7" to 9            | a=1@2:3      | 2:4   | 2:4      | nothing           |
            | late changes of the former epoch    | a=1@2:3      | 2:4   | the changes "a=0@1:7" to 1:9     | a=1@2:3      | 2:4   | 2:4      | nothing           |
            | a follower of the former epoch      | a=1@2:3      | 2:4   | the changes "b=1@2:5" to 2:5     | a=1@2:3 b=1@2:5 | 2:5 | 9       | the list          |
            | a follower that knows nothing       | a=1@1        | 1      | the changes "b=1@2" to 2         | a=1@1 b=1@2  | 2     | -1       | the list          |
            | a follower from before the list     | a=1@4        | 4      | the changes "b=1@5" to 5         | a=1@4 b=1@5  | 5     | 3        | the list          |

    Scenario: More changes than are kept
        Given a feed that has taken the list "a=1@1" to 1
        When it takes 3000 changes of key "a" one by one
        Then a follower that knows all changes up to 1 gets the list
        And a follower that knows all changes up to 2999 gets "a=3001@3001"
