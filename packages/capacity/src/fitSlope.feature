Feature: fitSlope

    Scenario Outline: fitSlope of <readings>
        Then fitSlope of <readings> gives <slope>

        Examples:
            | readings                                                       | slope                          |
            | [[{"size":1,"value":3},{"size":2,"value":5}]]                  | {"perUnit":2,"fixed":1}        |
            | [[{"size":0,"value":4},{"size":10,"value":4}]]                 | {"perUnit":0,"fixed":4}        |
            | [[{"size":0,"value":0},{"size":1,"value":3},{"size":2,"value":0}]] | {"perUnit":0,"fixed":1}    |
            | [[{"size":5,"value":1},{"size":5,"value":2}]]                  | {"throws":"a slope needs readings at two sizes or more"} |
