Feature: The priority of an account counts before the route's

    # Guards against an account of priority 0 that counts as one without a priority.
    Scenario Outline: <case>
        Then choosePriority of [<account>, {"priority":<route>}] gives <result>

        Examples:
            | case                                | account         | route | result |
            | no account                          | null            | 2     | 2      |
            | an account without a priority       | {}              | 2     | 2      |
            | an account that is more urgent      | {"priority":1}  | 2     | 1      |
            | an account that is less urgent      | {"priority":3}  | 2     | 3      |
            | an account that is the most urgent  | {"priority":0}  | 2     | 0      |
