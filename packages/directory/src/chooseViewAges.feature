Feature: A host that follows another one's view applies changes in time also if that one has lost the store

    Scenario Outline: changes are in force within <apply> ms
        Then chooseViewAges of [<apply>] gives <ages>

        Examples:
            | apply | ages                                                                         |
            | 4000  | {"mayFollow":true,"maxFollowedMs":3000,"maxHelperMs":4000,"maxWaitMs":1700}  |
            | 3000  | {"mayFollow":true,"maxFollowedMs":2000,"maxHelperMs":3000,"maxWaitMs":700}   |
            | 2400  | {"mayFollow":true,"maxFollowedMs":1400,"maxHelperMs":2400,"maxWaitMs":100}   |
            | 2000  | {"mayFollow":false,"maxFollowedMs":1000,"maxHelperMs":2000,"maxWaitMs":-300} |
