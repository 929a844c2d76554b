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
