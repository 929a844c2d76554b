Feature: A host's pace at the weight store

    Scenario Outline: <case>
        Then adaptPace of <args> gives <result>

        Examples:
            | case                             | args | result |
            | the first load is the measure    | [{"factor":1},250,3] | {"factor":1.5,"shortestMs":250} |
            | a quick load steps up            | [{"factor":2,"shortestMs":250},240,3] | {"factor":2.5,"shortestMs":240} |
            | never beyond the whole store     | [{"factor":3,"shortestMs":250},240,3] | {"factor":3,"shortestMs":240} |
            | a slow load halves               | [{"factor":3,"shortestMs":200},900,3] | {"factor":1.5,"shortestMs":202} |
            | never below the plain share      | [{"factor":1,"shortestMs":200},900,3] | {"factor":1,"shortestMs":202} |
