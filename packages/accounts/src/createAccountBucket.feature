Feature: The bucket of a client account

    # Guards against any order of requests, lost replies, returns and changes of the granter that exceeds the bound.
    Scenario: The bound holds in every window, whatever the order of events
        Then in 400 random histories with at most one takeover per window no window exceeds the bound

    # Guards against takeovers in quick succession, each of which would bring a level of its own.
    Scenario: Granters that replace each other every 300 ms keep the bound
        Then in 200 random histories in which granter and substitute alternate every 300 ms no window exceeds the bound

    Scenario Outline: A new granter of <rate> <unit> a second with a burst of <burst> grants <start> at its start
        Then a new bucket of <rate> <unit> a second with a burst of <burst> grants <start> units in steps of 1

        Examples:
            | rate   | unit     | burst   | start  |
            | 29000  | tokens   | 58000   | 78500  |
            | 640000 | tokens   | 1280000 | 371000 |
            | 29000  | tokens   | 100     | 51100  |
            | 10     | requests | 20      | 5      |

    # Guards against a level that outlives the limit under which it was saved.
    Scenario Outline: An idle account whose burst is changed from <before> to <after> may use <level> at once
        Then a full bucket whose burst goes from <before> to <after> at 29000 tokens a second has a level of <level>

        Examples:
            | before | after  | level  |
            | 300000 | 58000  | 58800  |
            | 58000  | 300000 | 58800  |

    # Guards against large requests that wait for a level which small ones never let rise.
    Scenario: A large request is granted while the level is positive
        Given a bucket of 29000 tokens a second with a burst of 58000
        When it is asked for 51000, 51000, 6000, 1 and 1 tokens 1000 ms after its start
        Then it grants the first two, and none after the first refusal until 1570 ms later

    # Guards against usual demand that is refused since one large request has emptied the bucket.
    Scenario: Small requests may use the overdraft before anything has been refused
        Given a bucket of 29000 tokens a second with a burst of 58000
        When it is asked for 51000, 10000, 2000, 2000 and 3000 tokens 1000 ms after its start
        Then it grants all of them

    # Guards against costs that are given back to a bucket that never charged them.
    Scenario: Returns never lift the level above its capacity
        Given a bucket of 29000 tokens a second with a burst of 58000
        When 10 times 51000 tokens are given back
        Then its level is 58800 at most
