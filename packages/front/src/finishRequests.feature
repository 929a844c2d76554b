Feature: A stopping host exits only while no request is in flight

    # Guards against a request that comes while the host ends its lease, and is cut when the process exits.
    Scenario Outline: <case>
        When a host stops at 0 ms with requests in flight from "<requests>" ms, a release that takes <release> ms, and at most 5000 ms
        Then it exits between <last> and <latest> ms

        Examples:
            | case                                | requests     | release | last | latest |
            | none                                |              | 20      | 20   | 90     |
            | one that ends                       | 0-70         | 20      | 90   | 160    |
            | one that comes during the release   | 10-300       | 20      | 300  | 390    |
            | one that comes during a later release | 0-70 110-400 | 60    | 400  | 490    |
            | one that doesn't end                | 0-9000       | 20      | 5000 | 5090   |
