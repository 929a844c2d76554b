Feature: A stream goes on only at engines of the software version that began it

    # Guards against a stream that holds events of engines of two software versions.
    Scenario Outline: <case>
        Given engines of the versions "<engines>" that <behaviour>
        And a stream that <origin>
        When a client's request for the stream runs 20 times
        Then each run is sent to versions "<sent>" and ends as "<end>"

        Examples:
            | case                                     | engines     | behaviour                       | origin                      | sent        | end                            |
            | a new stream                             | v1 v1 v2 v2 | send the whole stream           | is new                      | v1/v2       | relayed                        |
            | a break after an event                   | v1 v2 v1 v2 | break off after the first event | is new                      | v1,v1/v2,v2 | relayed                        |
            | a break before an event                  | v1 v2       | break off before an event       | is new                      | v1,v2/v2,v1 | relayed                        |
            | a break after an event, no other left    | v1 v2       | break off after the first event | is new                      | v1/v2       | gave_up unknown no_room        |
            | a resumption by the client               | v1 v2 v1 v2 | send the whole stream           | began at v2 in models       | v2          | relayed                        |
            | a resumption whose version is gone       | v1 v1       | send the whole stream           | began at v2 in models       |             | gave_up not_run version_gone   |
            | a resumption of another service's stream | v1 v1       | send the whole stream           | began at v1 in other-models |             | gave_up not_run version_gone   |
            | a resumption whose origin is not known   | v1 v2       | send the whole stream           | began nobody knows where    |             | gave_up not_run unknown_origin |

    # Guards against a stream that can't be resumed, since the weights of its route pick another service by now.
    Scenario Outline: A stream of a split route goes on at the service that began it: <case>
        Given engines of the versions "v1 v2" that <behaviour>
        And engines of the versions "v1 v2" in the route's other service "other-models"
        And a stream that <origin>
        When a client's request for the stream runs 20 times
        Then each run is sent to versions "<sent>" and ends as "<end>"

        Examples:
            | case                           | behaviour             | origin                      | sent                              | end                          |
            | new streams go there           | send the whole stream | began at v2 in models       | v2                                | relayed                      |
            | new streams go elsewhere       | send the whole stream | began at v2 in other-models | v2 of other-models                | relayed                      |
            | its version is gone there      | send the whole stream | began at v3 in other-models |                                   | gave_up not_run version_gone |
            | its service has left the route | send the whole stream | began at v1 in no-models    |                                   | gave_up not_run version_gone |
            | its new engine breaks off      | break off before an event | began at v2 in other-models | v2 of other-models            | gave_up unknown no_room      |

    # Guards against a stream that nobody can resume after a loss of all hosts: its record wasn't stored, and its engine
    # isn't one that the origin rules name.
    Scenario Outline: A stream whose record isn't stored begins anew where it needs none: <case>
        Given engines of the versions "<engines>" that <behaviour>
        And a stream that is new
        And the store takes no records of streams, which have to begin at v2
        When a client's request for the stream runs 20 times
        Then each run is sent to versions "<sent>" and ends as "<end>"
        And each client has received "<received>"

        Examples:
            | case                           | engines | behaviour                       | sent  | end                        | received             |
            | from the other version         | v1 v2   | send the whole stream           | v1,v2 | relayed                    | id: 1\\n\\nid: 2\\n\\n |
            | its engine breaks off meanwhile | v1 v2  | break off after the first event | v1,v2 | relayed                    | id: 1\\n\\nid: 2\\n\\n |
            | its version is gone            | v1 v1   | send the whole stream           | v1    | gave_up unknown no_engine    |                    |

    # Guards against a stream that has begun and is closed because another engine answers its resumption with a failure.
    Scenario Outline: A failed answer doesn't end a stream that has begun: <case>
        Given engines of the versions "<engines>" that break off after the first event, then fail once
        And a stream that is new
        When a client's request for the stream runs 20 times
        Then each run is sent to versions "<sent>" and ends as "<end>"

        Examples:
            | case                     | engines  | sent     | end                     |
            | a third engine           | v1 v1 v1 | v1,v1,v1 | relayed                 |
            | no other engine is left  | v1 v1    | v1,v1    | gave_up unknown no_room |

    # Guards against an error's text in the middle of a stream, and a stream that ends in it as if it were complete.
    Scenario Outline: A success that is no stream never goes on a stream that has begun: <case>
        Given engines of the versions "<engines>" that <behaviour>
        And a stream that is new
        When a client's request for the stream runs 20 times
        Then each run is sent to versions "<sent>" and ends as "<end>"
        And each client has received "<received>"

        Examples:
            | case                             | engines  | behaviour                                                        | sent     | end                     | received                   |
            | a page, a third engine           | v1 v1 v1 | break off after the first event, then answer with a page once    | v1,v1,v1 | relayed                 | id: 1\\n\\nid: 2\\n\\n |
            | a page, no other engine is left  | v1 v1    | break off after the first event, then answer with a page once    | v1,v1    | gave_up unknown no_room | id: 1\\n\\n            |
            | an answer without a type         | v1 v1    | break off after the first event, then answer without a type once | v1,v1    | gave_up unknown no_room | id: 1\\n\\n            |
            | an event without end, a third engine | v1 v1 v1 | break off after the first event, then send an event without end | v1,v1,v1 | relayed              | id: 1\\n\\nid: 2\\n\\n |
            | an event without end, no other is left | v1 v1  | break off after the first event, then send an event without end | v1,v1    | gave_up unknown no_room | id: 1\\n\\n         |
            | a page after a part of an event  | v1 v1    | break off inside an event, then answer with a page once          | v1,v1    | gave_up unknown no_room | id: 1\\n\\n            |
