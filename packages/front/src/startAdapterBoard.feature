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

    Scenario Outline: A load is expected to take longer where the engine's owner can't be reached
        Given an adapter board on host "b" that knows "<owner>" as the owner of "i-1" and <state>
        Then an absent adapter is expected to wait <wait> ms for a place there, and loads <can> be ordered

        Examples:
            | owner | state             | wait | can   |
            | c     | reaches it        | 0    | can   |
            | c     | does not reach it | 1000 | can   |
            |       | reaches it        | 0    | can't |

    Scenario: A host asks owners about the engines that it uses and about no others
        Given an adapter board on host "b" with 42 engines owned by "c"
        When 5000 ms pass on the board
        Then the board has told owners of 0 engines
        When a request runs on engine "i-7" of the board
        And 5000 ms pass on the board
        Then the board has told owners of 1 engines
        When the board's request on engine "i-7" ends
        And 1000 ms pass on the board
        And the board's messages are counted from here
        And 5000 ms pass on the board
        Then the board has told owners of 0 engines

    Scenario: A choice asks owners of whom nothing was heard lately, and does not wait for one that is silent
        Given an adapter board on host "b" with 42 engines owned by "c"
        When the board refreshes "i-1 i-2"
        Then the board has told owners of 2 engines
        And the board had news
        When the board's messages are counted from here
        And the board refreshes "i-1 i-2"
        Then the board has told owners of 0 engines
        When the board's owners fall silent
        And the board refreshes "i-3"
        Then the board has told owners of 1 engines
