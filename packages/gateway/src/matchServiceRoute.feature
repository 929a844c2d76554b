Feature: matchServiceRoute

    Scenario Outline: Route of <method> <path>
        Then matchServiceRoute of ["<method>", "<path>"] gives <result>

        Examples:
            | method | path               | result      |
            | POST   | /orders            | "orders"    |
            | GET    | /orders            | undefined   |
            | GET    | /orders/7          | "one order" |
            | GET    | /orders/           | undefined   |
            | GET    | /orders/7/lines    | undefined   |
            | GET    | /files/a/b         | "files"     |
            | GET    | /files             | undefined   |
            | GET    | /files/../orders/7 | undefined   |
            | GET    | /                  | undefined   |
