Feature: An engine that leaves, or asks for a pause, gets no further requests

    # Guards against requests to an engine that has said in an answer that it leaves, while the store lists it as ready.
    Scenario Outline: <leaving> of 6 engines say to <hosts> hosts that they leave, <faults>
        Given a fleet of <hosts> hosts before talkative engines, with <rate> requests a second, whose <faults>
        When <leaving> engines say that they leave, and clients send requests for 8 s
        Then no request that a client sent over 2000 ms after a host had passed that on reaches such an engine from there
        And at least <served> in 100 of the requests are served

        Examples:
            | hosts | leaving | rate | served | faults               |
            | 8     | 1       | 60   | 98     | messages all arrive  |
            | 8     | 5       | 60   | 98     | messages all arrive  |
            | 8     | 2       | 60   | 98     | store falls silent   |
            | 86    | 2       | 90   | 98     | messages all arrive  |
            | 300   | 2       | 90   | 98     | messages all arrive  |

    # Guards against requests that are sent to leaving engines for want of others, or held back until their deadline.
    Scenario: Where all engines say that they leave, requests are refused at once
        Given a fleet of 8 hosts before talkative engines, with 25 requests a second, whose messages all arrive
        When 6 engines say that they leave, and clients send requests for 8 s
        Then no request that a client sent over 2000 ms after a host had passed that on reaches such an engine from there
        And requests are refused as "no_engine" within 100 ms

    # Guards against a word of a former run of an engine that closes the one that has started again under its id.
    Scenario: The word that an engine leaves ends with its run
        Given a fleet of 8 hosts before talkative engines, with 60 requests a second, whose store falls silent
        When 2 engines say that they leave, and clients send requests for 4 s
        And all engines start again under their ids and say nothing, and clients send requests for 10 s
        Then each engine that had said so gets at least 60 in 100 of an equal share in the last 5 s

    # Guards against requests and repeats to an engine that has answered 503 with a time for which it wants none.
    Scenario Outline: <pausing> of 6 engines ask <hosts> hosts for a pause of <pause> ms, <faults>
        Given a fleet of <hosts> hosts before talkative engines, with <rate> requests a second, whose <faults>
        When <pausing> engines ask for a pause of <pause> ms, and clients send requests for 9 s
        Then from 500 ms after such an answer to its end at most 2 requests reach the engine from that host
        And after the pause each of these engines gets at least 50 in 100 of an equal share in the last 3 s

        Examples:
            | hosts | pausing | rate | pause | faults                            |
            | 8     | 1       | 60   | 4000  | messages all arrive               |
            | 8     | 6       | 60   | 4000  | messages all arrive               |
            | 8     | 3       | 60   | 1500  | messages are late by up to 150 ms |
            | 8     | 2       | 60   | 4000  | store falls silent                |
            | 86    | 6       | 90   | 4000  | messages all arrive               |
            | 300   | 3       | 400  | 4000  | messages all arrive               |

    # Guards against clients that wait for engines in a pause, and against clients that are told to return all at once.
    Scenario: Where all engines pause, requests are refused at once and told to return after the pause, urgent ones first
        Given a fleet of 8 hosts before talkative engines, with 40 requests a second, whose messages all arrive
        When 6 engines ask for a pause of 3000 ms, and clients send requests for 9 s
        Then requests are refused as "paused" within 100 ms
        And those refused as "paused" are told to return after the pause has ended and within 2000 ms of its end
        And those of priority 0 are told to return sooner after its end than those of priority 1
