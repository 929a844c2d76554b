Feature: A new owner of an engine that checks no fences waits until no order of another host is younger than the lease

    Scenario Outline: <case>
        Then chooseOrderWait of [<former>, <lease>] gives <wait>

        Examples:
            | case                              | former                                     | lease | wait  |
            | nobody has owned the engine       | {"kind":"none"}                            | 3000  | 0     |
            | the owner has just stopped        | {"kind":"stopped","lastOrderAgoMs":0}      | 3000  | 3000  |
            | the owner ordered a while ago     | {"kind":"stopped","lastOrderAgoMs":1000}   | 3000  | 2000  |
            | the owner ordered long ago        | {"kind":"stopped","lastOrderAgoMs":60000}  | 3000  | 0     |
            | the owner may still order         | {"kind":"unknown"}                         | 3000  | 11380 |
            | the same under a longer lease     | {"kind":"unknown"}                         | 5000  | 13380 |
