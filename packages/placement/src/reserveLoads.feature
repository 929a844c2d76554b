Feature: Division of a host's loads among its engines

    Scenario Outline: <case>
        Then reserveLoads of <args> gives <result>

        Examples:
            | case                              | args | result |
            | a single engine gets all loads    | [2,{"engine":"a","rank":2,"atMs":1000},[{"engine":"a","rank":0,"atMs":1000}]] | 2 |
            | a more urgent engine goes first   | [1,{"engine":"a","rank":2,"atMs":1000},[{"engine":"b","rank":0,"atMs":950}]] | 0 |
            | an equally urgent engine does not | [1,{"engine":"a","rank":0,"atMs":1000},[{"engine":"b","rank":0,"atMs":950}]] | 1 |
            | an outdated demand is ignored     | [1,{"engine":"a","rank":2,"atMs":1000},[{"engine":"b","rank":0,"atMs":700}]] | 1 |
            | no loads are allowed              | [0,{"engine":"a","rank":0,"atMs":1000},[{"engine":"b","rank":-1,"atMs":950}]] | 0 |
