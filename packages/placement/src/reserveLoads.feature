Feature: Loads are split among the engines of a host

    Scenario Outline: <case>
        Then reserveLoads of <args> gives <result>

        Examples:
            | case                               | args | result |
            | one engine has them all            | [2,{"engine":"a","rank":2,"atMs":1000},[{"engine":"a","rank":0,"atMs":1000}]] | 2 |
            | a more urgent engine goes first    | [1,{"engine":"a","rank":2,"atMs":1000},[{"engine":"b","rank":0,"atMs":950}]] | 0 |
            | an equal one does not              | [1,{"engine":"a","rank":0,"atMs":1000},[{"engine":"b","rank":0,"atMs":950}]] | 1 |
            | an old demand counts no more       | [1,{"engine":"a","rank":2,"atMs":1000},[{"engine":"b","rank":0,"atMs":700}]] | 1 |
            | none are left to split             | [0,{"engine":"a","rank":0,"atMs":1000},[{"engine":"b","rank":-1,"atMs":950}]] | 0 |
