Feature: Engines of unequal and changing speed are told apart from what hosts observe

    Engines read prompts in pieces and keep parts of prompts; some requests wait in a queue that their host doesn't know.

    Scenario Outline: Engines of speeds 0.55 and 1.2 are told apart: <case>
        When 98 engines, a quarter of them slow, get <requests> requests each, <kept>% with kept parts, with seeds 1 to 10
        Then at most <wrong>% of the engines are taken for one of the other speed

        Examples:
            | case                                        | requests | kept | wrong |
            | within 8 requests                           | 8        | 40   | 4     |
            | within 24 requests                          | 24       | 40   | 1     |
            | most prompts are partly kept, 12 requests   | 12       | 80   | 5     |
            | most prompts are partly kept, 24 requests   | 24       | 80   | 2     |

    Scenario: 70 hosts that see 4 requests a second each know 98 engines after 8 s
        When requests of 70 hosts run at 98 engines for 8 s, with seeds 1 to 10
        Then at most 5% of the engines are taken for one of the other speed

    Scenario: An engine that is 5 times slower for 6 s is tracked down and up at 3 requests a second
        When an engine is 5 times slower from 20 s to 26 s, which its header doesn't state, with seeds 1 to 40
        Then in 95% of the runs it is taken for 3 times slower within 5 s
        And in 95% of the runs it is taken for at most 1.5 times slower within 9 s after the end

    Scenario: Periods in which an engine is 2.5 times slower, as its header states, change nothing
        When an engine is 2.5 times slower in 15% of the time, which its header states, with seeds 1 to 40
        Then in 95% of the runs it is taken for 0.6 to 1.5 times as fast as without

    Scenario: An engine that is 5 times slower for 6 s, as its header states, is taken for as fast as usual, times its slowdown
        When an engine is 5 times slower from 20 s to 26 s, which its header states, with seeds 1 to 20
        Then in 95% of the runs it is taken for 0.6 to 1.6 times as fast as the others

    Scenario Outline: An engine whose header states <stated> is taken for what it is
        When an engine among ten states <stated> for 60 requests, with seeds 1 to 20
        Then in 95% of the runs it is taken for 0.6 to 1.6 times as fast as the others

        Examples:
            | stated                 |
            | always 10 percent      |
            | always 1000 percent    |

    Scenario: An engine whose header states 100 or 250 percent at random is off by no more than its statements are
        When an engine among ten states 100 or 250 percent at random for 60 requests, with seeds 1 to 20
        Then in 95% of the runs it is taken for 0.4 to 2.5 times as fast as the others

    Scenario: A slow engine without requests is tried again, since it is taken for as fast as the others after some time
        When an engine was 5 times slower for 40 requests and then gets none for 120 s
        Then it is taken for at least 0.8 times as fast as the others

    Scenario: A faulty engine does not change what the others are taken for
        When one of five engines answers first bytes at once and events after 30 s
        Then the others are taken for as fast as without it, within 10%
