Feature: checkAnswer distinguishes complete answers, errors and wrong answers

    Scenario Outline: <case>
        Then checkAnswer of ["a@1", 2, <text>] gives <result>

        Examples:
            | case            | text                                                                                                                   | result |
            | complete        | "data: {\"choices\":[{\"text\":\"a@1:0 \"}]}~~data: {\"choices\":[{\"text\":\"a@1:1 \"}]}~~data: [DONE]~~"             | {"kind":"whole","tokens":2} |
            | a token missing | "data: {\"choices\":[{\"text\":\"a@1:0 \"}]}~~data: [DONE]~~"                                                          | {"kind":"wrong","reason":"other tokens than asked for"} |
            | another adapter | "data: {\"choices\":[{\"text\":\"b@1:0 \"}]}~~data: {\"choices\":[{\"text\":\"b@1:1 \"}]}~~data: [DONE]~~"             | {"kind":"wrong","reason":"other tokens than asked for"} |
            | no end mark     | "data: {\"choices\":[{\"text\":\"a@1:0 \"}]}~~"                                                                        | {"kind":"wrong","reason":"the answer has no end mark"} |
            | error event     | "data: {\"choices\":[{\"text\":\"a@1:0 \"}]}~~data: {\"error\":{\"code\":\"stream_broken\",\"outcome\":\"ran\"}}~~"     | {"kind":"error","code":"stream_broken","outcome":"ran"} |
            | refused request | "{\"error\":{\"code\":\"queue_full\",\"outcome\":\"not_run\"}}"                                                        | {"kind":"error","code":"queue_full","outcome":"not_run"} |
            | empty body      | ""                                                                                                                     | {"kind":"wrong","reason":"neither a stream nor an error"} |
