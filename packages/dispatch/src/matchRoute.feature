Feature: A request uses the route of its host name with the longest matching path prefix

    Scenario Outline: <case>
        Then matchRoute of [[{"name":"a","hostName":"h","pathPrefix":"/x/"},{"name":"b","hostName":"h","pathPrefix":"/x/y/"},{"name":"c","hostName":"g","pathPrefix":"/"}],<request>] gives <result>

        Examples:
            | case                     | request             | result                                           |
            | the longest prefix wins  | "h", "/x/y/1"       | {"name":"b","hostName":"h","pathPrefix":"/x/y/"} |
            | a query does not count   | "h", "/x/1?q=/x/y/" | {"name":"a","hostName":"h","pathPrefix":"/x/"}   |
            | a prefix ends at a slash | "h", "/xy/1"        | undefined                                        |
            | another host name        | "g", "/x/y/1"       | {"name":"c","hostName":"g","pathPrefix":"/"}     |
            | unknown host name        | "k", "/x/1"         | undefined                                        |
