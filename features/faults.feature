Feature: The guarantees to the callers hold during each single fault and each pair of faults

    Scenario Outline: <first> with <second>, fencing tokens <fences>, seed <seed>
        Given a fault run with engines that have fencing tokens <fences>
        When requests of seed <seed> are sent before, during and after "<first>" and "<second>"
        Then each host of the fault run serves requests again
        And each host of the fault run has the last accepted configuration
        And the guarantees hold according to the stand-ins' records

        Examples: each single fault
            | first                 | second                | fences   | seed |
            | kv down               | nothing else          | ignored  | 1    |
            | lost replies          | nothing else          | checked  | 2    |
            | paused owner          | nothing else          | ignored  | 3    |
            | engine restart        | nothing else          | checked  | 4    |
            | load failures         | nothing else          | ignored  | 5    |
            | silent connections    | nothing else          | checked  | 6    |
            | host gone             | nothing else          | ignored  | 7    |
            | conflicting operators | nothing else          | checked  | 8    |

        Examples: each pair of faults
            | first                 | second                | fences   | seed |
            | kv down               | lost replies          | checked  | 9    |
            | kv down               | paused owner          | ignored  | 10   |
            | kv down               | engine restart        | ignored  | 11   |
            | kv down               | load failures         | checked  | 12   |
            | kv down               | silent connections    | ignored  | 13   |
            | kv down               | host gone             | ignored  | 14   |
            | kv down               | conflicting operators | checked  | 15   |
            | lost replies          | paused owner          | ignored  | 16   |
            | lost replies          | engine restart        | ignored  | 17   |
            | lost replies          | load failures         | checked  | 18   |
            | lost replies          | silent connections    | ignored  | 19   |
            | lost replies          | host gone             | ignored  | 20   |
            | lost replies          | conflicting operators | checked  | 21   |
            | paused owner          | engine restart        | ignored  | 22   |
            | paused owner          | load failures         | ignored  | 23   |
            | paused owner          | silent connections    | checked  | 24   |
            | paused owner          | host gone             | ignored  | 25   |
            | paused owner          | conflicting operators | ignored  | 26   |
            | engine restart        | load failures         | checked  | 27   |
            | engine restart        | silent connections    | ignored  | 28   |
            | engine restart        | host gone             | ignored  | 29   |
            | engine restart        | conflicting operators | checked  | 30   |
            | load failures         | silent connections    | ignored  | 31   |
            | load failures         | host gone             | ignored  | 32   |
            | load failures         | conflicting operators | checked  | 33   |
            | silent connections    | host gone             | ignored  | 34   |
            | silent connections    | conflicting operators | ignored  | 35   |
            | host gone             | conflicting operators | checked  | 36   |
