Feature: A header's value is read as a decimal number

    Scenario Outline: <text>
        Then parseDecimal of [<text>] gives <number>

        Examples:
            | text       | number    |
            | "1.5"      | 1.5       |
            | " 12 "     | 12        |
            | "0"        | 0         |
            | "-1"       | undefined |
            | "1e3"      | undefined |
            | "Infinity" | undefined |
            | "1."       | undefined |
            | ""         | undefined |
