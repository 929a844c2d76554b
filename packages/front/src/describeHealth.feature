Feature: What an exchange shows of its engine's health

    Scenario Outline: <result>
        Then describeHealth of [<result>, 20, 5000] gives <health>

        Examples:
            | result                                  | health                                           |
            | {"kind":"relayed"}                      | {"kind":"answered","firstByteMs":20,"atMs":5000} |
            | {"kind":"answer","head":{"status":404}} | {"kind":"answered","firstByteMs":20,"atMs":5000} |
            | {"kind":"answer","head":{"status":500}} | {"kind":"failed","atMs":5000}                    |
            | {"kind":"broken"}                       | {"kind":"failed","atMs":5000}                    |
            | {"kind":"unsent"}                       | {"kind":"unreachable","atMs":5000}               |
            | {"kind":"not_run","status":503}         | {"kind":"shed","atMs":5000}                      |
            | {"kind":"not_run","status":421}         | undefined                                        |
            | {"kind":"cancelled"}                    | undefined                                        |
