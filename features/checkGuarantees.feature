Feature: checkGuarantees reports each violated guarantee

    Scenario Outline: <case>
        Then checkGuarantees of [[<request>], <seen>] gives <result>

        Examples:
            | case                     | request | seen | result |
            | a whole answer           | {"prompt":"p","model":"a@1","tokens":2,"status":200,"text":"a@1:0 a@1:1 "} | {"runs":[{"prompt":"p","instance":"a@1#1.1"}],"evictedInUse":0} | [] |
            | a shortened answer       | {"prompt":"p","model":"a@1","tokens":2,"status":200,"text":"a@1:0 "} | {"runs":[{"prompt":"p","instance":"a@1#1.1"}],"evictedInUse":0} | ["p: the answer is not the whole answer of a@1"] |
            | another version          | {"prompt":"p","model":"a@1","tokens":1,"status":200,"text":"a@1:0 "} | {"runs":[{"prompt":"p","instance":"a@2#1.1"}],"evictedInUse":0} | ["p: ran on a@2#1.1 in place of a@1"] |
            | a false not run          | {"prompt":"p","model":"a@1","tokens":1,"status":503,"outcome":"not_run","text":""} | {"runs":[{"prompt":"p","instance":"a@1#1.1"}],"evictedInUse":0} | ["p: called not run, but it ran"] |
            | a true not run           | {"prompt":"p","model":"a@1","tokens":1,"status":503,"outcome":"not_run","text":""} | {"runs":[],"evictedInUse":0} | [] |
            | an error with no outcome | {"prompt":"p","model":"a@1","tokens":1,"status":500,"text":""} | {"runs":[],"evictedInUse":0} | ["p: status 500 without an outcome"] |
            | a key that ran twice     | {"prompt":"p","model":"a@1","tokens":1,"key":"k","status":503,"outcome":"unknown","text":""} | {"runs":[{"prompt":"p","instance":"a@1#1.1"},{"prompt":"p","instance":"a@1#1.2"}],"evictedInUse":0} | ["k: ran 2 times"] |
            | a key falsely not run    | {"prompt":"p","model":"a@1","tokens":1,"key":"k","status":503,"outcome":"not_run","text":""} | {"runs":[{"prompt":"p","instance":"a@1#1.1"}],"evictedInUse":0} | ["k: each answer says not run, but it ran"] |
            | an eviction in use       | {"prompt":"p","model":"a@1","tokens":1,"status":200,"text":"a@1:0 "} | {"runs":[],"evictedInUse":1} | ["1 evictions in use"] |
