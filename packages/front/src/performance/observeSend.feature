Feature: A first byte is set against all prompt tokens that the engine had to read for it

    Scenario Outline: <case>
        Given a sender to engine "i-1", which <states>
        When a stream with a prompt of 1000 tokens is sent behind <own> tokens of this host, while the owner counts <all>
        And its first byte comes after 90 ms
        Then <seen> is to be reported of the engine

        Examples:
            | case                                        | states                          | own  | all  | seen                 |
            | an idle engine                              | states how long work takes      | 0    | 0    | [[[1000,90000]],[]]  |
            | this host's other requests wait there       | states how long work takes      | 500  | 0    | [[[1500,90000]],[]]  |
            | other hosts' requests wait there too        | states how long work takes      | 500  | 3000 | [[[4000,90000]],[]]  |
            | an engine that doesn't say how it works     | doesn't state it                | 500  | 3000 | nothing              |
