Feature: The cache events of an engine stand-in are delayed and have gaps

    Scenario Outline: <case>
        Then cacheEvents of <args> gives <result>

        Examples:
            | case                         | args                                                              | result |
            | in order                     | [[{"atMs":0},{"atMs":1},{"atMs":2}], 0, 10, 0]                    | [1,2,3] |
            | after a known event          | [[{"atMs":0},{"atMs":1},{"atMs":2}], 2, 10, 0]                    | [3]    |
            | delayed                      | [[{"atMs":0},{"atMs":6},{"atMs":9}], 0, 10, 5]                    | [1]    |
            | a lost event leaves a gap    | [[{"atMs":0},{"atMs":1,"isLost":true},{"atMs":2}], 0, 10, 0]      | [1,3]  |

    Scenario: Prompts with the same beginning share a prefix
        Then cachePrefixes of ["same beginning of more than sixty-four characters, so that the end does not count: a", "same beginning of more than sixty-four characters, so that the end does not count: b", "another"] gives [true, false]
