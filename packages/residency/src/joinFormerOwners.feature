Feature: Of the hosts that may have owned an engine, the one that may still do most counts

    Scenario Outline: <case>
        Then joinFormerOwners of [<replies>, {"wasWaiting":<waiting>}] gives <result>

        Examples:
            | case                             | replies                                                                                    | waiting | result                                |
            | no host is known                 | []                                                                                         | false   | {"kind":"unknown"}                    |
            | one has stopped                  | [{"kind":"stopped","lastOrderAgoMs":7}]                                                    | false   | {"kind":"stopped","lastOrderAgoMs":7} |
            | all have stopped                 | [{"kind":"stopped","lastOrderAgoMs":7},{"kind":"stopped","lastOrderAgoMs":5}]              | false   | {"kind":"stopped","lastOrderAgoMs":5} |
            | the last was waiting for another | [{"kind":"stopped","lastOrderAgoMs":7}]                                                    | true    | {"kind":"stopped","lastOrderAgoMs":0} |
            | one is out of reach              | [{"kind":"stopped","lastOrderAgoMs":7},{"kind":"unknown"}]                                 | false   | {"kind":"unknown"}                    |
            | one still holds its right        | [{"kind":"unknown"},{"kind":"holding","holder":"a"},{"kind":"stopped","lastOrderAgoMs":5}] | false   | {"kind":"holding","holder":"a"}       |
