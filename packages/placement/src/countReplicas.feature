Feature: How many engines hold an adapter

    Scenario Outline: <case>
        Then countReplicas of <args> gives <result>

        Examples:
            | case                                  | args | result |
            | a quiet adapter has one               | [{"engines":6,"replicas":1,"ratePerSecond":0.1,"replicaRate":4}] | 1 |
            | a rate above one replica's grows      | [{"engines":6,"replicas":1,"ratePerSecond":9,"replicaRate":4}] | 3 |
            | never more than there are engines     | [{"engines":6,"replicas":3,"ratePerSecond":40,"replicaRate":4}] | 6 |
            | a little less keeps what is there     | [{"engines":6,"replicas":3,"ratePerSecond":2,"replicaRate":4}] | 3 |
            | much less gives up one at a time      | [{"engines":6,"replicas":3,"ratePerSecond":1,"replicaRate":4}] | 2 |
            | silence leads back to one             | [{"engines":6,"replicas":2,"ratePerSecond":0,"replicaRate":4}] | 1 |
