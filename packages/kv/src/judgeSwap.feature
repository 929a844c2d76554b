Feature: judgeSwap

    Scenario Outline: A write in doubt is resolved by repeating it, <case>
        Then judgeSwap of <args> gives <result>

        Examples:
            | case                                        | args                                                                                                                      | result                                                      |
            | applied at once                             | [{"kind":"answered","result":{"kind":"applied","revision":4}}, "own", false]                                              | {"kind":"applied","entry":{"value":"own","revision":4}}     |
            | another was faster                          | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"theirs","revision":5}}}, "own", false]                | {"kind":"refused","current":{"value":"theirs","revision":5}} |
            | the key is gone                             | [{"kind":"answered","result":{"kind":"conflict"}}, "own", true]                                                           | {"kind":"refused"}                                          |
            | the lost attempt had taken effect           | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"own","revision":5}}}, "own", true]                    | {"kind":"applied","entry":{"value":"own","revision":5}}     |
            | it took effect and others wrote on top      | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"own+theirs","revision":9}}}, "own", true]             | {"kind":"applied","entry":{"value":"own+theirs","revision":9}} |
            | the lost attempt had not taken effect       | [{"kind":"answered","result":{"kind":"conflict","current":{"value":"theirs","revision":5}}}, "own", true]                 | {"kind":"refused","current":{"value":"theirs","revision":5}} |
            | nothing was ever sent                       | [{"kind":"unsent"}, "own", false]                                                                                         | {"kind":"unavailable"}                                      |
            | nothing was sent after a lost attempt       | [{"kind":"unsent"}, "own", true]                                                                                          | {"kind":"undecided"}                                        |
            | the answer is missing                       | [{"kind":"lost"}, "own", false]                                                                                           | {"kind":"undecided"}                                        |
