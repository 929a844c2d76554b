Feature: A host's load rate at the weight store

    Scenario Outline: <case>
        Then adaptLoadRate of <args> gives <result>

        Examples:
            | case                                   | args | result |
            | the first load sets the baseline       | [{"factor":1},250,3] | {"factor":1.5,"shortestMs":250} |
            | a fast load raises the factor          | [{"factor":2,"shortestMs":250},240,3] | {"factor":2.5,"shortestMs":240} |
            | never more than the whole store's rate | [{"factor":3,"shortestMs":250},240,3] | {"factor":3,"shortestMs":240} |
            | a slow load halves the factor          | [{"factor":3,"shortestMs":200},900,3] | {"factor":1.5,"shortestMs":202} |
            | never below the host's share           | [{"factor":1,"shortestMs":200},900,3] | {"factor":1,"shortestMs":202} |
