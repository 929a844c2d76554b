Feature: A host's share of the weight store

    Scenario Outline: <case>
        Then shareLoads of <args> gives <result>

        Examples:
            | case                           | args | result |
            | in proportion to owned engines | [{"storeLoadsPerSecond":2,"storeMaxInTransit":8,"ownedEngines":3,"engines":6}] | {"loadsPerSecond":1,"maxInTransit":4,"maxFactor":2,"burst":2} |
            | a small share allows one load  | [{"storeLoadsPerSecond":2,"storeMaxInTransit":8,"ownedEngines":1,"engines":16}] | {"loadsPerSecond":0.125,"maxInTransit":1,"maxFactor":16,"burst":2} |
            | no share without engines       | [{"storeLoadsPerSecond":2,"storeMaxInTransit":8,"ownedEngines":0,"engines":6}] | {"loadsPerSecond":0,"maxInTransit":1,"maxFactor":1,"burst":2} |
