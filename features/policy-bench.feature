Feature: Policies keep the guarantees to the callers under load and faults

    Scenario Outline: Scenario <scenario> runs for a few seconds with the policy <policy>
        When the benchmark runs "<scenario>" on "<deployment>" with "<policy>" and seed 7
        Then the benchmark counts no wrong adapter, no eviction in use, no double run and no truncated answer

        Examples:
            | scenario           | deployment | policy           |
            | cold-start         | vop        | fulmarcleat      |
            | month-end          | vestkyst   | fulmarcleat      |
            | load-failures      | vop        | hash+LRU         |
