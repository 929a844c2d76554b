Feature: A host's state follows its own hello message and the platform's list

    Scenario Outline: <case>
        Then applyHello of <args> gives <result>

        Examples:
            | case                          | args                                                                                                                                          | result                                                                                                                 |
            | a live host                   | [[{"host":"a","state":"silent","isListedLeaving":false}],{"host":"a","incarnation":"1","leaving":false,"configSeq":2,"ownedEngines":["e"]},7] | [{"host":"a","state":"live","isListedLeaving":false,"incarnation":"1","heardMs":7,"configSeq":2,"ownedEngines":["e"]}] |
            | a host that announces leaving | [[{"host":"a","state":"live","isListedLeaving":false}],{"host":"a","incarnation":"1","leaving":true,"configSeq":2,"ownedEngines":[]},7]       | [{"host":"a","state":"leaving","isListedLeaving":false,"incarnation":"1","heardMs":7,"configSeq":2,"ownedEngines":[]}] |
            | a host listed as leaving      | [[{"host":"a","state":"leaving","isListedLeaving":true}],{"host":"a","incarnation":"1","leaving":false,"configSeq":2,"ownedEngines":[]},7]    | [{"host":"a","state":"leaving","isListedLeaving":true,"incarnation":"1","heardMs":7,"configSeq":2,"ownedEngines":[]}]  |
            | a host that is not listed     | [[],{"host":"a","incarnation":"1","leaving":false,"configSeq":2,"ownedEngines":[]},7]                                                         | []                                                                                                                     |
