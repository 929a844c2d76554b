Feature: A place may be reused only while no request waits and half of the batch is free

    Scenario Outline: <case>
        Then chooseReuse of [<state>] gives <result>

        Examples:
            | case                      | state                                                                      | result |
            | half of the batch is free | {"waiting":[],"places":[1,2],"limits":{"batchSlots":4,"draining":false}}   | 250    |
            | less than half is free    | {"waiting":[],"places":[1,2,3],"limits":{"batchSlots":4,"draining":false}} | 0      |
            | a request waits           | {"waiting":[1],"places":[1],"limits":{"batchSlots":4,"draining":false}}    | 0      |
            | the engine is draining    | {"waiting":[],"places":[1],"limits":{"batchSlots":4,"draining":true}}      | 0      |
