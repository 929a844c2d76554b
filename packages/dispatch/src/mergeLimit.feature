Feature: What an engine says of its limit counts in the order in which it said so, as far as that is known

    Scenario Outline: <case>
        Then mergeLimit of [<known>, <next>] gives <merged>

        Examples:
            | case                                        | known                                   | next                                     | merged                                   |
            | the first limit                             | null                                    | {"perSecond":2,"sentMs":0,"heardMs":10}  | {"perSecond":2,"sentMs":0,"heardMs":10}  |
            | a stricter one                              | {"perSecond":2,"sentMs":0,"heardMs":10} | {"perSecond":1,"sentMs":5,"heardMs":20}  | {"perSecond":1,"sentMs":5,"heardMs":20}  |
            | a stricter one that was heard before        | {"perSecond":2,"sentMs":0,"heardMs":30} | {"perSecond":1,"sentMs":5,"heardMs":20}  | {"perSecond":2,"sentMs":0,"heardMs":30}  |
            | a looser one, asked for after the known one | {"perSecond":1,"sentMs":0,"heardMs":10} | {"perSecond":2,"sentMs":15,"heardMs":20} | {"perSecond":2,"sentMs":15,"heardMs":20} |
            | a looser one that the known one overtook    | {"perSecond":1,"sentMs":0,"heardMs":10} | {"perSecond":2,"sentMs":5,"heardMs":20}  | {"perSecond":1,"sentMs":0,"heardMs":10}  |
            | no limit any more                           | {"perSecond":1,"sentMs":0,"heardMs":10} | {"sentMs":15,"heardMs":20}               | {"sentMs":15,"heardMs":20}               |
            | no limit, in an answer that was under way   | {"perSecond":1,"sentMs":0,"heardMs":10} | {"sentMs":5,"heardMs":20}                | {"perSecond":1,"sentMs":0,"heardMs":10}  |
            | a limit again                               | {"sentMs":15,"heardMs":20}              | {"perSecond":1,"sentMs":5,"heardMs":25}  | {"perSecond":1,"sentMs":5,"heardMs":25}  |
            | the same limit, heard later                 | {"perSecond":1,"sentMs":0,"heardMs":10} | {"perSecond":1,"sentMs":5,"heardMs":20}  | {"perSecond":1,"sentMs":5,"heardMs":20}  |
