Feature: hashRequest

    Scenario Outline: The hash distinguishes a repeat from another request, <case>
        Then hashRequest compares of <args> gives <result>

        Examples:
            | case                    | args                                                                    | result  |
            | the same                | [{"prompt":"a","model":"m"}, {"prompt":"a","model":"m"}]                | "same"  |
            | streamed or not         | [{"prompt":"a"}, {"prompt":"a","stream":true,"stream_options":{"a":1}}] | "same"  |
            | fields in another order | [{"prompt":"a","model":"m"}, {"model":"m","prompt":"a"}]                | "same"  |
            | another prompt          | [{"prompt":"a"}, {"prompt":"b"}]                                        | "other" |
            | another field           | [{"prompt":"a"}, {"prompt":"a","seed":1}]                               | "other" |
