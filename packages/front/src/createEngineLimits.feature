Feature: An engine that names a limit gets no more requests than that from all hosts together

    # Guards against hosts that each send what their own choice of engines gives, whatever limit an engine has named.
    Scenario Outline: <engines> of 6 engines name <rate> a second to <hosts> hosts that get <demand> requests a second, <faults>
        Given a fleet of <hosts> hosts that get <demand> requests a second, whose <faults>
        When <engines> engines name a limit of <rate> requests a second, and clients send requests for 30 s
        Then from 3000 ms on none of these engines gets more than 1.5 times that and 5 requests in any 4 s
        And from 5000 ms on they get at least <used> in 100 of it

        Examples:
            | hosts | engines | rate | demand | faults                            | used |
            | 8     | 1       | 1.4  | 25     | messages all arrive               | 90   |
            | 8     | 2       | 1    | 25     | messages are lost, 30 in 100      | 60   |
            | 8     | 2       | 1.2  | 25     | messages are late by up to 150 ms | 80   |
            | 8     | 2       | 1.2  | 25     | store falls silent                | 90   |
            | 8     | 6       | 2    | 25     | messages all arrive               | 90   |
            | 8     | 6       | 0.5  | 12     | messages are lost, 30 in 100      | 60   |
            | 8     | 1       | 0    | 12     | messages all arrive               | 0    |
            | 8     | 3       | 4    | 50     | messages all arrive               | 90   |
            | 40    | 1       | 1    | 25     | messages all arrive               | 90   |
            | 40    | 6       | 1    | 25     | messages are lost, 30 in 100      | 60   |
            | 86    | 1       | 1    | 25     | messages all arrive               | 90   |

    # Guards against an engine that gets too much, or nothing, when the host that grants its requests is gone.
    Scenario Outline: The hosts that grant stop while <faults>
        Given a fleet of 8 hosts that get 25 requests a second, whose <faults>
        When 2 engines name a limit of 1.5 requests a second, and clients send requests for 10 s
        And the <count> first hosts that grant for each of these engines stop, and clients send requests for 25 s
        Then from 3000 ms on none of these engines gets more than 1.5 times that and 5 requests in any 4 s
        And from 25000 ms on they get at least <used> in 100 of it

        Examples:
            | count | faults                       | used |
            | 1     | messages all arrive          | 90   |
            | 2     | messages all arrive          | 90   |
            | 1     | store falls silent           | 45   |
            | 2     | store falls silent           | 45   |
            | 1     | messages are lost, 30 in 100 | 45   |

    # Guards against a limit that hosts keep after the engine has ceased to name it.
    Scenario Outline: An engine that names no limit any more is used like the others: <faults>
        Given a fleet of <hosts> hosts that get 25 requests a second, whose <faults>
        When 1 engine names a limit of 1 requests a second, and clients send requests for 10 s
        And no engine names a limit any more, and clients send requests for 10 s
        Then the engine gets at least 60 in 100 of an equal share of the requests in the last 5 s

        Examples:
            | hosts | faults                       |
            | 8     | messages all arrive          |
            | 8     | messages are lost, 30 in 100 |
            | 8     | store falls silent           |
            | 40    | messages all arrive          |

    # Guards against a limit that a former run of the engine has named.
    Scenario: A limit ends with the run of the engine that named it
        Given a fleet of 8 hosts that get 25 requests a second, whose store falls silent
        When 1 engine names a limit of 0 requests a second, and clients send requests for 5 s
        And all engines start again under their ids and name no limit, and clients send requests for 10 s
        Then the engine gets at least 60 in 100 of an equal share of the requests in the last 5 s

    # Guards against requests that are held back until their deadline, and against clients that return all at once.
    Scenario: Where all engines have reached their limits, urgent requests go first and the others are refused at once
        Given a fleet of 8 hosts that get 40 requests a second, whose messages all arrive
        When 6 engines name a limit of 2 requests a second, and clients send requests for 30 s
        Then requests are refused as limited within 100 ms, and are told to return after 20 to 4000 ms
        And a request of priority 0 is served at least 1.3 times as often as one of priority 1

    # Guards against a right to send that lasts longer the later the reply that grants it arrives.
    Scenario Outline: A permit whose grant arrives <late> ms after it was asked for and is used <after> ms after that
        Given a host that asks another one for a permit, whose reply arrives after <late> ms
        When it uses the permit <after> ms after the reply
        Then the granter has been asked <times>

        Examples:
            | late | after | times |
            | 10   | 480   | once  |
            | 180  | 310   | once  |
            | 10   | 500   | twice |
            | 180  | 330   | twice |
