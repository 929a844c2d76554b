Feature: A compare-and-swap whose reply was lost is resolved by repeating it

    Scenario Outline: One attempt at a write, <case>
        Then resolveSwap of <args> gives <result>

        Examples:
            | case                                        | args                                                                                                                      | result                                                      |
            | applied at once                             | [{"kind":"answered","result":{"kind":"applied","revision":4}}, "own", false]                                              | {"kind":"applied","entry":{"value":"own","revision":4}}     |
            | another write came first                    | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"theirs","revision":5}}}, "own", false]                | {"kind":"refused","current":{"value":"theirs","revision":5}} |
            | the key was deleted                         | [{"kind":"answered","result":{"kind":"conflict"}}, "own", true]                                                           | {"kind":"refused"}                                          |
            | the lost attempt had taken effect           | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"own","revision":5}}}, "own", true]                    | {"kind":"applied","entry":{"value":"own","revision":5}}     |
            | it took effect and others added to it       | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"own+theirs","revision":9}}}, "own", true]             | {"kind":"applied","entry":{"value":"own+theirs","revision":9}} |
            | the lost attempt had not taken effect       | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"theirs","revision":5}}}, "own", true]                 | {"kind":"refused","current":{"value":"theirs","revision":5}} |
            | nothing was ever sent                       | [{"kind":"unsent"}, "own", false]                                                                                         | {"kind":"unavailable"}                                      |
            | nothing was sent after a lost attempt       | [{"kind":"unsent"}, "own", true]                                                                                          | {"kind":"undecided"}                                        |
            | the answer is missing                       | [{"kind":"lost"}, "own", false]                                                                                           | {"kind":"undecided"}                                        |
