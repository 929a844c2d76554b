Feature: New work relies on the key-value service only while it answers in time

    Scenario Outline: The service is unavailable once a call fails or is pending for too long
        Then decideAvailable of <args> gives <result>

        Examples:
            | args                                                       | result |
            | [{"lastAnswered":true}, 500, 1000]                         | true   |
            | [{"lastAnswered":false}, 500, 1000]                        | false  |
            | [{"lastAnswered":true,"oldestPendingMs":500}, 500, 1000]   | true   |
            | [{"lastAnswered":true,"oldestPendingMs":499}, 500, 1000]   | false  |
            | [{"lastAnswered":false,"oldestPendingMs":1000}, 500, 1000] | false  |
