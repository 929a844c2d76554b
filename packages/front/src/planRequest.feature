Feature: A request gets a route and a service, or a reason for its refusal

    Scenario Outline: <case>
        Given a configuration that splits the route "/answers/" evenly between the services "a" and "b"
        When a request <request> is planned
        Then the plan is "<plan>"

        Examples:
            | case             | request                 | plan            |
            | a request        | with an id              | planned         |
            | no id            | without an id           | 400 bad_request |
            | no route         | for another path        | 404 not_found   |
            | no configuration | without a configuration | 503 not_ready   |
            | a request, and the host may lack a newer configuration | for a known path by an old configuration | planned |
            | no route, and the host may lack a newer configuration | for another path by an old configuration | 503 not_ready |
            | no id, and the host may lack a newer configuration | without an id by an old configuration | 400 bad_request |

    # Guards against a stream that can't be resumed at the service that began it, since new ones go elsewhere by now.
    Scenario Outline: After the weights have become <weights>, the service <service> may still go on with its streams: <may>
        Given a configuration that splits the route "/answers/" evenly between the services "a" and "b"
        And the weights become <weights>
        When a stream that began at "<service>" is resumed 100 times
        Then each plan allows that service: <may>

        Examples:
            | weights | service | may |
            | 1 to 99 | a       | yes |
            | 99 to 1 | b       | yes |
            | 0 to 99 | a       | no  |
            | 99 to 0 | b       | no  |

    # Guards against a resumed stream that goes to another service of a split route than the one that began it.
    Scenario: A client that resumes a stream reaches the service that began it
        Given a configuration that splits the route "/answers/" evenly between the services "a" and "b"
        When 100 streams are begun and resumed by their clients
        Then each stream is resumed at the service that began it
