Feature: Refusals are counted by account within a bound of memory

    # Guards against a counter per account that takes a host's memory where there are many accounts.
    Scenario Outline: <accounts> accounts
        Then of <accounts> accounts that are refused twice each, <named> are counted by name and <others> refusals as others

        Examples:
            | accounts | named | others |
            | 16       | 16    | 0      |
            | 1000     | 1000  | 0      |
            | 1500     | 1000  | 1000   |

    Scenario: A request that belongs to no account
        Then a request whose account is set and removed has none, and its refusal isn't counted
