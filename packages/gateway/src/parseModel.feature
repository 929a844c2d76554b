Feature: parseModel

    Scenario Outline: parseModel reads <args>
        Then parseModel of <args> gives <result>

        Examples:
            | args             | result                              |
            | ["levy@7"]       | {"adapter":"levy","version":"7"}    |
            | ["levy"]         | {"adapter":"levy"}                  |
            | ["dga-2@2026.1"] | {"adapter":"dga-2","version":"2026.1"} |
            | [""]             | {"throws":"bad_request"}            |
            | ["levy@"]        | {"throws":"bad_request"}            |
            | ["@7"]           | {"throws":"bad_request"}            |
            | ["levy@7@8"]     | {"throws":"bad_request"}            |
            | ["Levy@7"]       | {"throws":"bad_request"}            |
            | ["levy#1@7"]     | {"throws":"bad_request"}            |
