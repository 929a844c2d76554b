Feature: A host's share of the weight store

    Scenario Outline: <case>
        Then shareLoads of <args> gives <result>

        Examples:
            | case                            | args | result |
            | by the engines that it owns     | [{"storeLoadsPerSecond":2,"storeMaxInTransit":8,"ownedEngines":3,"engines":6}] | {"loadsPerSecond":1,"maxInTransit":4,"maxFactor":2,"burst":2} |
            | a small part may load one       | [{"storeLoadsPerSecond":2,"storeMaxInTransit":8,"ownedEngines":1,"engines":16}] | {"loadsPerSecond":0.125,"maxInTransit":1,"maxFactor":16,"burst":2} |
            | without engines it starts none  | [{"storeLoadsPerSecond":2,"storeMaxInTransit":8,"ownedEngines":0,"engines":6}] | {"loadsPerSecond":0,"maxInTransit":1,"maxFactor":1,"burst":2} |
