Feature: The media type of an answer is read without its parameters

    Scenario Outline: <headers>
        Then readMediaType of [{"headers": <headers>}] gives <type>

        Examples:
            | headers                                              | type                |
            | []                                                   | undefined           |
            | ["Content-Type", "text/event-stream"]                | "text/event-stream" |
            | ["content-type", "Text/Event-Stream; charset=utf-8"] | "text/event-stream" |
            | ["X", "content-type", "Content-Type", "text/html"]   | "text/html"         |
