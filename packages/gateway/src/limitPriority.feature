Feature: limitPriority

    Scenario Outline: A request for class <asked> under an offer of <offered> runs as <result>
        Then limitPriority of [<offered>, <asked>] gives <result>

        Examples:
            | offered  | asked    | result   |
            | "urgent" | "urgent" | "urgent" |
            | "urgent" | "bulk"   | "bulk"   |
            | "normal" | "urgent" | "normal" |
            | "bulk"   | "urgent" | "bulk"   |
            | "bulk"   | "normal" | "bulk"   |
            | "normal" | "bulk"   | "bulk"   |
