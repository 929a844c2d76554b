Feature: chooseReuse

    Scenario Outline: <case>
        Then chooseReuse of [<state>] gives <result>

        Examples:
            | case                 | state                                                                                  | result |
            | a batch half free    | {"waiting":[],"places":[1,2],"limits":{"batchSlots":4,"draining":false}}               | 250    |
            | a batch fuller       | {"waiting":[],"places":[1,2,3],"limits":{"batchSlots":4,"draining":false}}             | 0      |
            | somebody waits       | {"waiting":[1],"places":[1],"limits":{"batchSlots":4,"draining":false}}                | 0      |
            | the engine is leaving | {"waiting":[],"places":[1],"limits":{"batchSlots":4,"draining":true}}                 | 0      |
