Feature: countOutcomes compares answers with the engines' records

    Scenario Outline: Answers are compared with the records, <case>
        Then countOutcomes of <args> gives <result>

        Examples:
            | case                | args                                                                                                                                              | result |
            | nothing             | [[], []]                                                                                                                                          | {"keys":0,"requests":0,"runs":0,"maxRunsPerKey":0,"answered":{"ran":0,"not_run":0,"unknown":0},"byName":{},"falseNotRun":0,"falseRan":0} |
            | a repeat            | [[{"requestId":"a","key":"k","name":"whole","outcome":"ran"},{"requestId":"b","key":"k","name":"replay","outcome":"ran"}], [{"requestId":"a","key":"k"}]] | {"keys":1,"requests":2,"runs":1,"maxRunsPerKey":1,"answered":{"ran":2,"not_run":0,"unknown":0},"byName":{"replay":1,"whole":1},"falseNotRun":0,"falseRan":0} |
            | a double run        | [[{"requestId":"a","key":"k","name":"whole","outcome":"ran"}], [{"requestId":"a","key":"k"},{"requestId":"b","key":"k"}]]                         | {"keys":1,"requests":1,"runs":2,"maxRunsPerKey":2,"answered":{"ran":1,"not_run":0,"unknown":0},"byName":{"whole":1},"falseNotRun":0,"falseRan":0} |
            | a false not_run     | [[{"requestId":"a","key":"k","name":"kv_unavailable","outcome":"not_run"}], [{"requestId":"a","key":"k"}]]                                        | {"keys":1,"requests":1,"runs":1,"maxRunsPerKey":1,"answered":{"ran":0,"not_run":1,"unknown":0},"byName":{"kv_unavailable":1},"falseNotRun":1,"falseRan":0} |
            | a false ran         | [[{"requestId":"a","key":"k","name":"whole","outcome":"ran"}], []]                                                                                | {"keys":1,"requests":1,"runs":0,"maxRunsPerKey":0,"answered":{"ran":1,"not_run":0,"unknown":0},"byName":{"whole":1},"falseNotRun":0,"falseRan":1} |
