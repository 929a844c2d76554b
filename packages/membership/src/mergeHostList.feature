Feature: The platform's host list is merged into the known hosts

    Scenario Outline: <case>
        Then mergeHostList of [<members>, <listed>, 5] gives <result>

        Examples:
            | case                                               | members | listed | result |
            | a new host is live                                 | [] | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"live"}] | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"live","isListedLeaving":false,"heardMs":5,"configSeq":0,"ownedEngines":[]}] |
            | an unlisted host is removed                        | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"live","isListedLeaving":false,"heardMs":1,"configSeq":3,"ownedEngines":[]}] | [] | [] |
            | a known host keeps its state and gets its new port | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"silent","isListedLeaving":false,"heardMs":1,"configSeq":3,"ownedEngines":["e"]}] | [{"host":"a","address":"127.0.0.1","port":2,"failureDomain":"d","state":"live"}] | [{"host":"a","address":"127.0.0.1","port":2,"failureDomain":"d","state":"silent","isListedLeaving":false,"heardMs":1,"configSeq":3,"ownedEngines":["e"]}] |
            | a host listed as leaving is leaving                | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"live","isListedLeaving":false,"heardMs":1,"configSeq":3,"ownedEngines":[]}] | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"leaving"}] | [{"host":"a","address":"127.0.0.1","port":1,"failureDomain":"d","state":"leaving","isListedLeaving":true,"heardMs":1,"configSeq":3,"ownedEngines":[]}] |
            | hosts are ordered by id                            | [] | [{"host":"b","address":"x","port":1,"failureDomain":"d","state":"live"},{"host":"a","address":"x","port":1,"failureDomain":"d","state":"live"}] | [{"host":"a","address":"x","port":1,"failureDomain":"d","state":"live","isListedLeaving":false,"heardMs":5,"configSeq":0,"ownedEngines":[]},{"host":"b","address":"x","port":1,"failureDomain":"d","state":"live","isListedLeaving":false,"heardMs":5,"configSeq":0,"ownedEngines":[]}] |
