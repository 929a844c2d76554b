Feature: buildClaimPage

    Scenario Outline: The page of the next write: <case>
        Then buildClaimPage of [<entries>, <claims>, <ends>, <nowMs>] gives <result>

        Examples:
            | case                           | entries                                                         | claims                 | ends                                           | nowMs | result                                                                             |
            | a new claim                    | {}                                                              | ["k n1"]               | []                                             | 7     | {"entries":{"k":"n1 7 open"},"admitted":["n1"],"left":[]}                          |
            | two claims of one key          | {}                                                              | ["k n1","k n2"]        | []                                             | 7     | {"entries":{"k":"n1 7 open"},"admitted":["n1"],"left":["n2"]}                      |
            | past the retention             | {"old":{"requestHash":"x","nonce":"n0","atMs":0,"state":"ran"}} | ["k n1"]               | []                                             | 10000 | {"entries":{"k":"n1 10000 open"},"admitted":["n1"],"left":[]}                      |
            | within the retention           | {"old":{"requestHash":"x","nonce":"n0","atMs":1,"state":"ran"}} | []                     | []                                             | 10000 | {"entries":{"old":"n0 1 ran"},"admitted":[],"left":[]}                             |
            | an outcome                     | {"k":{"requestHash":"x","nonce":"n0","atMs":1,"state":"open"}}  | []                     | [{"key":"k","nonce":"n0","outcome":"ran"}]     | 2     | {"entries":{"k":"n0 1 ran"},"admitted":[],"left":[]}                               |
            | an outcome of an older attempt | {"k":{"requestHash":"x","nonce":"n0","atMs":1,"state":"open"}}  | []                     | [{"key":"k","nonce":"n9","outcome":"not_run"}] | 2     | {"entries":{"k":"n0 1 open"},"admitted":[],"left":[]}                              |
            | freed and claimed in one write | {"k":{"requestHash":"x","nonce":"n0","atMs":1,"state":"open"}}  | ["k n1"]               | [{"key":"k","nonce":"n0","outcome":"not_run"}] | 2     | {"entries":{"k":"n1 2 open"},"admitted":["n1"],"left":[]}                          |
            | a full page                    | {}                                                              | ["a n1","b n2","c n3"] | []                                             | 2     | {"entries":{"a":"n1 2 open","b":"n2 2 open"},"admitted":["n1","n2"],"left":["n3"]} |
