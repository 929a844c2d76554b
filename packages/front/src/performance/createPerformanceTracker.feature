Feature: A host learns the speed of engines that state how long work takes, and of no others

    Scenario Outline: Without the fourth number of the load header nothing is learned: <case>
        Given a performance tracker
        When engine "i-1" states <percent> percent
        And a first byte of engine "i-1" takes 90 ms for 2048 tokens
        And 12 events of engine "i-1" come 22 ms apart
        Then the pace of engine "i-1" is <pace> and <seen> is to be reported of it

        Examples:
            | case                | percent | pace    | seen     |
            | it is not stated    | no      | unknown | nothing  |
            | it is stated        | 100     | known   | [[[2048,90000]],[22000]] |

    Scenario: An engine of which nothing is known has today's constants, or the median of its service
        Given a performance tracker
        When engine "i-1" states 100 percent
        Then engine "i-2" reads 40.8 tokens in a millisecond and sends an event each 28 ms
        When 40 first bytes of engine "i-1" show 20 tokens in a millisecond
        And 240 events of engine "i-1" come 40 ms apart
        And 1000 ms pass for the performance tracker
        Then engine "i-2" reads 20 tokens in a millisecond and sends an event each 40 ms

    Scenario: The present slowdown is taken out of durations, and forgotten after 150 ms
        Given a performance tracker
        When engine "i-1" states 250 percent
        Then the slowdown of engine "i-1" is 2.5
        When a first byte of engine "i-1" takes 100 ms for 600 tokens
        Then the pace of engine "i-1" is known and [[[600,40000]],[]] is to be reported of it
        And the pace of engine "i-1" is known and nothing is to be reported of it
        When 151 ms pass for the performance tracker
        Then the slowdown of engine "i-1" is 1

    Scenario: What an owner has learned from other hosts counts where this host has seen little
        Given a performance tracker
        When engine "i-1" states 100 percent
        And the owner of engine "i-1" reports [50000,20000,44000,16,16]
        Then engine "i-1" reads 20 tokens in a millisecond and sends an event each 44 ms

    Scenario: Few events are kept until there are enough to see through the processing of prompts
        Given a performance tracker
        When engine "i-1" states 100 percent
        And 3 events of engine "i-1" come 22 ms apart
        Then the pace of engine "i-1" is known and nothing is to be reported of it
        When 1 events of engine "i-1" come 22 ms apart
        Then the pace of engine "i-1" is known and [[],[22000]] is to be reported of it

    Scenario: An engine that is gone is forgotten
        Given a performance tracker
        When engine "i-1" states 250 percent
        And a first byte of engine "i-1" takes 100 ms for 600 tokens
        And engine "i-1" is removed from the performance tracker
        Then the slowdown of engine "i-1" is 1
        And the pace of engine "i-1" is known and nothing is to be reported of it

    Scenario: An engine without requests for two minutes is forgotten, so that memory stays bounded
        Given a performance tracker
        When engine "i-1" states 100 percent
        And a first byte of engine "i-1" takes 100 ms for 600 tokens
        And 120001 ms pass for the performance tracker
        Then engine "i-1" reads 40.8 tokens in a millisecond and sends an event each 28 ms
        And the pace of engine "i-1" is known and nothing is to be reported of it

    Scenario: Of the many requests of a plain service, one each 20 ms is a sample
        Given a performance tracker
        When engine "i-1" states 100 percent
        And 50 requests of engine "i-1" take 30 ms of work, one each 5 ms
        Then the performance tracker has counted 13 samples of work

    Scenario: Engines that state nothing any more, as after a change of their software, are treated as before
        Given a performance tracker
        When engine "i-1" states 100 percent
        And 600001 ms pass for the performance tracker
        Then the pace of engine "i-1" is unknown and nothing is to be reported of it

    Scenario: At most one log line a minute states the learned speeds, of all engines in turn
        Given a performance tracker
        When 40 engines state 100 percent each 500 ms for 310 s
        Then the performance tracker has written 5 log lines, which name 40 engines
        And the gauge of the median speed is 40.8
