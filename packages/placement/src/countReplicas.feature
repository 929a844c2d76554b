Feature: Number of engines that hold an adapter

    Scenario Outline: <case>
        Then countReplicas of <args> gives <result>

        Examples:
            | case                                   | args | result |
            | a rarely used adapter has one replica  | [{"engines":6,"replicas":1,"ratePerSecond":0.1,"replicaRate":4}] | 1 |
            | a rate above one replica's capacity    | [{"engines":6,"replicas":1,"ratePerSecond":9,"replicaRate":4}] | 3 |
            | never more than there are engines      | [{"engines":6,"replicas":3,"ratePerSecond":40,"replicaRate":4}] | 6 |
            | slightly less demand keeps replicas    | [{"engines":6,"replicas":3,"ratePerSecond":2,"replicaRate":4}] | 3 |
            | much less demand removes one at a time | [{"engines":6,"replicas":3,"ratePerSecond":1,"replicaRate":4}] | 2 |
            | no demand leads back to one            | [{"engines":6,"replicas":2,"ratePerSecond":0,"replicaRate":4}] | 1 |
