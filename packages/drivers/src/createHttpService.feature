Feature: The driver of a plain service returns only whole answers

    # Guards against a truncated answer being returned, and stored for a keyed request, as the service's whole answer.
    Scenario Outline: A truncated answer is an error: <case>
        Given a plain service that <service>
        When a call is sent to the service
        Then the call ends with "<end>"

        Examples:
            | case                                     | service                             | end                        |
            | an answer with a content length          | answers with a content length       | 200 hello                  |
            | an answer without a length               | answers without a length and closes | 200 hello                  |
            | a reset after an answer without a length | answers without a length and resets | the service did not answer |
            | fewer bytes than the content length      | closes before the announced length  | the service did not answer |

    # Guards against bytes that are no response of HTTP being returned as the service's answer.
    Scenario Outline: An answer with the status <status> is <taken>
        Given a plain service that answers with status <status>
        When a call is sent to the service
        Then the call ends with "<end>"

        Examples:
            | status | taken    | end                        |
            | 599    | returned | 599 hello                  |
            | 600    | an error | the service did not answer |
            | 999    | an error | the service did not answer |
            | 000    | an error | the service did not answer |
