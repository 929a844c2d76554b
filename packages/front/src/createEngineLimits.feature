Feature: An engine that names a limit gets no more requests than that from all hosts together

    # Guards against hosts that each send what their own choice of engines gives, whatever limit an engine has named.
    Scenario Outline: <engines> of 6 engines name <rate> a second to <hosts> hosts that get <demand> requests a second, <faults>
        Given a fleet of <hosts> hosts that get <demand> requests a second, whose <faults>
        When <engines> engines name a limit of <rate> requests a second, and clients send requests for 30 s
        Then from 3000 ms on none of these engines gets more than 1.5 times that and 5 requests in any 4 s

        Examples:
            | hosts | engines | rate | demand | faults                             |
            | 8     | 1       | 1.4  | 25     | messages all arrive                |
            | 8     | 2       | 1    | 25     | messages are lost, 30 in 100       |
            | 8     | 2       | 1.2  | 25     | messages are late by up to 150 ms  |
            | 8     | 2       | 1.2  | 25     | store falls silent                 |
            | 8     | 6       | 2    | 25     | messages all arrive                |
            | 8     | 6       | 0.5  | 25     | messages are lost, 30 in 100       |
            | 8     | 1       | 0    | 25     | messages all arrive                |
            | 8     | 3       | 4    | 50     | messages all arrive                |
            | 40    | 1       | 1    | 25     | messages all arrive                |
            | 40    | 6       | 1    | 50     | messages are lost, 30 in 100       |
