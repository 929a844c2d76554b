Feature: reduceHostConfig

    Scenario: no sequence of messages reverts a host's configuration or leaves a gap in it
        Then reduceHostConfig holds a growing prefix of the changes under every sequence of messages

    Scenario Outline: reduceHostConfig computes whether a host is ready: <case>
        Then readiness after <messages> is <ready>

        Examples:
            | case                                           | messages                                              | ready |
            | the complete log                               | [["log",0,1,3]]                                       | true  |
            | a compacted log                                | [["log",2,2,3]]                                       | false |
            | a compacted log, then all resources            | [["log",2,2,3],["loaded",3],["log",2,2,3]]            | true  |
            | all resources from a peer, not all peers asked | [["loaded",3]]                                        | false |
            | all resources from a peer, all peers asked     | [["heard",3],["loaded",3],["greeted"]]                | true  |
            | less than a peer has                           | [["heard",4],["loaded",3],["greeted"]]                | false |
            | less than a peer has, then a push              | [["heard",4],["loaded",3],["greeted"],["pushed",4,4]] | true  |
            | nothing from any peer                          | [["greeted"]]                                         | false |
            | an empty deployment                            | [["log",0,1,0]]                                       | true  |

    Scenario: parseConfigLog accepts any JSON value
        Then parseConfigLog returns a log or throws for every JSON value
