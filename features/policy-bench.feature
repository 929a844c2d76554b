Feature: The policy harms nobody under load and faults

    Scenario Outline: A few seconds of <scenario> with the policy <policy>
        When the bench plays "<scenario>" on "<deployment>" with "<policy>" and seed 7
        Then the bench counts no wrong adapter, no eviction in use, no double run and no cut answer

        Examples:
            | scenario           | deployment | policy           |
            | cold-start         | vop        | fulmarcleat      |
            | month-end          | vestkyst   | fulmarcleat      |
            | load-failures      | vop        | hash+LRU         |
