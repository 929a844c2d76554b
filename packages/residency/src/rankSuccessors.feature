Feature: An engine whose owner has lost its path to it goes to a host of another failure domain first

    Scenario Outline: <case>
        Then rankSuccessors of [<hosts>,"<former>"] gives <result>

        Examples:
            | case                                     | hosts                                                                                                     | former | result            |
            | other domains go first, in order         | [{"host":"a","domain":"x"},{"host":"b","domain":"x"},{"host":"c","domain":"y"},{"host":"d","domain":"z"}] | a      | ["c","d","b","a"] |
            | one domain for all                       | [{"host":"a","domain":"x"},{"host":"b","domain":"x"},{"host":"c","domain":"x"}]                           | b      | ["a","c","b"]     |
            | hosts of former versions state no domain | [{"host":"a"},{"host":"b"},{"host":"c"}]                                                                  | a      | ["b","c","a"]     |
            | only the others state a domain           | [{"host":"a"},{"host":"b","domain":"x"},{"host":"c"}]                                                     | a      | ["b","c","a"]     |
            | the former owner is leaving or gone      | [{"host":"b","domain":"x"},{"host":"c","domain":"y"}]                                                     | a      | ["b","c"]         |
