Feature: parseResource validates a resource that an operator sent

    Scenario Outline: parseResource names the invalid field: <field>
        Then parseResource of <args> gives <result>

        Examples:
            | field         | args                                                                                                     | result                                                                                                                          |
            | metadata.name | [{"kind":"Policy","metadata":{"name":"b"},"spec":{}},{"kind":"Policy","name":"a"}]                        | {"kind":"invalid","fields":[{"field":"metadata.name","message":"the path says a"}]}                                               |
            | kind          | [{"kind":"Policy","metadata":{"name":"a"},"spec":{}},{"kind":"Offer","name":"a"}]                         | {"kind":"invalid","fields":[{"field":"kind","message":"the path says Offer"}]}                                                    |
            | keyHashes     | [{"kind":"Caller","metadata":{"name":"a"},"spec":{"keyHashes":["x"]}},{"kind":"Caller","name":"a"}]       | {"kind":"invalid","fields":[{"field":"spec.keyHashes.0","message":"a SHA-256 hash as 64 lower-case hexadecimal digits"}]}         |
            | status        | [{"kind":"Service","metadata":{"name":"a"},"spec":{"urls":["http://h"],"callers":["c"],"routes":[{"method":"GET","path":"x","repeatable":true}]},"status":{}},{"kind":"Service","name":"a"}] | {"kind":"invalid","fields":[{"field":"spec.routes.0.path","message":"Invalid string: must start with \"/\""}]} |

    Scenario: parseResource never throws for a JSON value
        Then parseResource returns a result for any JSON value
