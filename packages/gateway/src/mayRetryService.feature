Feature: mayRetryService

    Scenario Outline: A call is retried only if it may run more than once or was never sent
        Then mayRetryService of [{"isAtMostOnce":<once>,"wasSent":<sent>,"urlsLeft":<left>,"isExpired":<expired>}] gives <result>

        Examples:
            | once  | sent  | left | expired | result |
            | true  | true  | 3    | false   | false  |
            | true  | false | 3    | false   | true   |
            | true  | false | 0    | false   | false  |
            | false | true  | 3    | false   | true   |
            | false | true  | 0    | false   | false  |
            | false | true  | 3    | true    | false  |
            | false | false | 1    | false   | true   |
