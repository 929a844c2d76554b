Feature: readToken parses one event of an engine's stream

    Scenario Outline: <case>
        Then readToken of <args> gives <result>

        Examples:
            | case             | args                                                                                  | result |
            | completion       | ["3", "{\"model\":\"a@1#2\",\"choices\":[{\"text\":\"x\"}]}"]                           | {"index":3,"text":"x","instance":"a@1#2"} |
            | chat             | ["0", "{\"model\":\"a@1#2\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}"]            | {"index":0,"text":"x","instance":"a@1#2"} |
            | last             | ["0", "{\"model\":\"a@1#2\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}"] | {"index":0,"text":"","instance":"a@1#2","finishReason":"stop"} |
            | no model         | ["0", "{\"choices\":[{\"text\":\"x\"}]}"]                                             | {"throws":"the event has no model or no choice"} |
            | no choice        | ["0", "{\"model\":\"a@1#2\",\"choices\":[]}"]                                         | {"throws":"the event has no model or no choice"} |
            | text is a number | ["0", "{\"model\":\"a@1#2\",\"choices\":[{\"text\":7}]}"]                             | {"throws":"the event's text is not a string"} |
            | unknown end      | ["0", "{\"model\":\"a@1#2\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"x\"}]}"]  | {"throws":"the event's finish_reason is unknown"} |
