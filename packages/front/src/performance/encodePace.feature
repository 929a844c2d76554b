Feature: What an owner has learned goes to other hosts as whole numbers

    Scenario Outline: <case>
        Then encodePace of <learned> gives <numbers>
        And decodePace of <received> gives <result>

        Examples:
            | case                        | learned                                                                            | numbers                    | received                   | result                                                                             |
            | all is known                | [{"tokenMs":0.031,"idleMs":21.4,"eventMs":22,"reads":12.3,"events":16}]            | [31000,21400,22000,12,16]  | [[31000,21400,22000,12,16]] | {"tokenMs":0.031,"idleMs":21.4,"eventMs":22,"reads":12,"events":16,"works":0}     |
            | only events are known       | [{"eventMs":22,"reads":0,"events":3}]                                              | [0,0,22000,0,3]            | [[0,0,22000,0,3]]          | {"eventMs":22,"reads":0,"events":3,"works":0}                                      |
            | numbers that are none       | [{"reads":0,"events":0}]                                                           | [0,0,0,0,0]                | [[-1,null,"x",-3,null]]    | {"reads":0,"events":0,"works":0}                                                   |
