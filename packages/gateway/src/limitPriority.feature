Feature: limitPriority

    Scenario Outline: A request for class <requested> under an offer of <offered> runs as <result>
        Then limitPriority of [<offered>, <requested>] gives <result>

        Examples:
            | offered  | requested | result   |
            | "urgent" | "urgent"  | "urgent" |
            | "urgent" | "bulk"    | "bulk"   |
            | "normal" | "urgent"  | "normal" |
            | "bulk"   | "urgent"  | "bulk"   |
            | "bulk"   | "normal"  | "bulk"   |
            | "normal" | "bulk"    | "bulk"   |
