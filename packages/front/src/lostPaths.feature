Feature: Hosts without paths to engines serve requests by way of the hosts that have them

    # Guards against hosts that refuse or hold nearly all requests while other hosts reach the engines.
    Scenario Outline: <hosts> hosts; the paths of <who> to <services> are cut, <how>, <times>; <faults>
        Given a fleet of <hosts> hosts before two services, whose <faults>
        When the paths of <who> to <services> are cut, <how>, <times>, while clients send requests
        Then no request that may run once reaches engines twice
        And no host hands on a request that another host handed to it
        And from 3000 ms after the end on these hosts send at least 9 in 10 of their requests to engines themselves
        And from 3000 ms on until the end, first tries there are served two thirds as often as elsewhere, or 10 and 1 in 50 fail

        Examples:
            | hosts | who                | services          | how         | times                | faults                            |
            | 8     | half of the hosts  | all engines       | hang        | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | all engines       | reset       | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | all engines       | new refused | for 10 s             | messages all arrive               |
            | 8     | one failure domain | all engines       | hang        | for 10 s             | messages all arrive               |
            | 8     | one failure domain | all engines       | reset       | for 10 s             | messages all arrive               |
            | 8     | one failure domain | all engines       | new refused | for 10 s             | messages all arrive               |
            | 8     | all hosts but one  | all engines       | hang        | for 10 s             | messages all arrive               |
            | 8     | all hosts but one  | all engines       | reset       | for 10 s             | messages all arrive               |
            | 8     | all hosts but one  | all engines       | new refused | for 10 s             | messages all arrive               |
            | 8     | one host           | all engines       | hang        | for 10 s             | messages all arrive               |
            | 8     | one host           | all engines       | reset       | for 10 s             | messages all arrive               |
            | 8     | one host           | all engines       | new refused | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | the model engines | hang        | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | the model engines | reset       | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | the plain engines | hang        | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | the plain engines | reset       | for 10 s             | messages all arrive               |
            | 8     | half of the hosts  | all engines       | hang        | for 2 s of every 3 s | messages all arrive               |
            | 8     | half of the hosts  | all engines       | reset       | for 2 s of every 3 s | messages all arrive               |
            | 8     | all hosts but one  | all engines       | hang        | for 2 s of every 3 s | messages all arrive               |
            | 8     | half of the hosts  | all engines       | hang        | for 10 s             | messages are lost, 30 in 100      |
            | 8     | all hosts but one  | all engines       | reset       | for 10 s             | messages are lost, 30 in 100      |
            | 8     | one failure domain | all engines       | hang        | for 10 s             | messages are late by up to 150 ms |
            | 86    | half of the hosts  | all engines       | hang        | for 10 s             | messages all arrive               |
            | 86    | one failure domain | all engines       | reset       | for 10 s             | messages are lost, 30 in 100      |
            | 86    | all hosts but one  | all engines       | hang        | for 10 s             | messages all arrive               |
            | 300   | half of the hosts  | all engines       | reset       | for 10 s             | messages all arrive               |
            | 300   | one failure domain | all engines       | hang        | for 10 s             | messages are lost, 30 in 100      |

    # Guards against hosts that find no other host where each has few requests, and so has heard from no engine lately.
    Scenario Outline: <hosts> hosts with <rate> requests a second in all; the paths of <who> are cut, <how>
        Given a fleet of <hosts> hosts before two services with <rate> requests a second, whose messages all arrive
        When the paths of <who> to all engines are cut, <how>, for 30 s, while clients send requests
        Then no request that may run once reaches engines twice
        And from 3000 ms on until the end, at least 9 in 10 first tries there are served

        Examples:
            | hosts | rate | who               | how   |
            | 8     | 2    | half of the hosts | hang  |
            | 8     | 2    | half of the hosts | reset |
            | 86    | 2    | half of the hosts | hang  |
            | 86    | 8    | half of the hosts | reset |
            | 86    | 8    | all hosts but one | hang  |

    # Guards against requests that are held, or passed from host to host, where no host reaches an engine.
    Scenario Outline: <hosts> hosts; <services> <fail> for all hosts
        Given a fleet of <hosts> hosts before two services, whose messages all arrive
        When <services> <fail> for all hosts for 8 s while clients send requests
        Then their requests that come from <held from> ms on are refused within 1000 ms
        And from <handed from> ms on no host hands such a request to another
        And all requests for the others are answered

        Examples:
            | hosts | services          | fail        | held from | handed from |
            | 8     | the model engines | stop        | 0         | 1000        |
            | 8     | the plain engines | stop        | 0         | 1000        |
            | 86    | the model engines | stop        | 0         | 1000        |

    # Guards against requests that pass from host to host, or never end, where no host hears from an engine.
    Scenario Outline: <hosts> hosts; <services> send nothing to any host
        Given a fleet of <hosts> hosts before two services, whose messages all arrive
        When <services> fall silent for all hosts for 8 s while clients send requests
        Then from 3000 ms on no host hands such a request to another
        And their requests are held 100 ms past their deadlines at most
        And all requests for the others are answered

        Examples:
            | hosts | services          |
            | 8     | the model engines |
            | 8     | the plain engines |
