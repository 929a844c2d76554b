Feature: A load ask reaches the engine's owner, also where the asker does not know it

    Scenario Outline: <case>
        Given an adapter board on host "b" that knows "<owner>" as the owner of "i-1" and <state>
        When the board is asked for an adapter by <asker>
        Then the ask went to "<sentTo>" <how> and the answer is "<answer>"

        Examples:
            | case                                     | owner | state                       | asker                  | sentTo | how       | answer   |
            | the owner is another host                | c     | reaches it                  | its own request        | c      | directly  | ready    |
            | a peer asks that does not know the owner | c     | reaches it                  | a peer                 | c      | relayed   | ready    |
            | an ask that was passed on before         | c     | reaches it                  | a peer that passes on  |        | directly  | refused  |
            | nobody owns it                           |       | reaches it                  | its own request        |        | directly  | refused  |
            | fenced here, so a peer is asked          | b     | has been fenced             | its own request        | c      | directly  | ready    |
            | the owner can't be reached               | c     | does not reach it           | its own request        | store  | directly  | ready    |
