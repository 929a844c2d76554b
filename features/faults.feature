Feature: The users' promises hold through each fault alone and each pair of faults

    Scenario Outline: <first> with <second>, fences <fences>, seed <seed>
        Given fault-run hosts before engines that have fences <fences>
        When fault-run requests of seed <seed> go on through "<first>" and "<second>"
        Then fault-run hosts all serve every adapter again
        And fault-run hosts all hold the last accepted configuration
        And fault-run promises hold as the stand-ins saw it

        Examples: each fault alone
            | first                 | second                | fences   | seed |
            | kv down               | nothing else          | ignored  | 1    |
            | lost replies          | nothing else          | checked  | 2    |
            | paused owner          | nothing else          | ignored  | 3    |
            | engine restart        | nothing else          | checked  | 4    |
            | load failures         | nothing else          | ignored  | 5    |
            | silent connections    | nothing else          | checked  | 6    |
            | host gone             | nothing else          | ignored  | 7    |
            | conflicting operators | nothing else          | checked  | 8    |

        Examples: each pair
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
