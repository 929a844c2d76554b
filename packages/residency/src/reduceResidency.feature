Feature: An owner learns how long adapter loads take from requests that came too early

    # Guards against requests that are all turned away, and spend the retry budget, since a load is thought done before
    # it is.
    Scenario Outline: <case>
        Given an owner whose loads take <expected> ms, as it thinks
        When adapter "a" is loaded at 1000 ms<before>
        And a request finds it missing at <missing> ms
        Then it is expected at <ready> ms
        And further loads are expected to take <learned> ms
        And the owner <reads> the engine's report

        Examples:
            | case                                     | expected | before                         | missing | ready | learned | reads         |
            | a load that takes longer                 | 255      |                                | 1265    | 1290  | 270     | does not read |
            | reported by many requests at once        | 255      | , found missing at 1262 ms     | 1265    | 1287  | 270     | does not read |
            | still missing after it was extended      | 255      | , found missing at 1262 ms     | 1290    | 1315  | 285     | does not read |
            | long after the expected end              | 255      |                                | 1900    | 1925  | 255     | does not read |
            | much later, but soon after the end       | 255      |                                | 1340    | 1365  | 270     | does not read |
            | a request that didn't wait for the load  | 255      |                                | 1100    | 1255  | 255     | does not read |
            | while loads are known to take longer     | 300      |                                | 1310    | 1335  | 315     | does not read |
            | a load that never ends                   | 255      |                                | 2900    | 1255  | 255     | reads         |
            | another version waits for its requests   | 250      | as a replacement               | 1260    | 1285  | 250     | does not read |
            | a copy loads in a tenth of the time      | 250      | after it was unloaded          | 1030    | 1035  | 250     | does not read |
            | a copy that the engine no longer has     | 250      | after it was unloaded          | 1040    | 1250  | 250     | does not read |

    # Guards against hosts that send load requests to an engine that answers no orders, and wait there in vain.
    Scenario Outline: Hosts are told that an owner can't order at present: <case>
        Given an owner whose loads take 255 ms, as it thinks
        When <event>
        Then an adapter is expected to wait <wait> ms for its order

        Examples:
            | case                                 | event                                        | wait |
            | the engine answers                   | nothing happens                              | 0    |
            | it has not answered the last order   | an order at 1000 ms gets the reply "unknown" | 200  |
            | the report has to be read first      | an order at 1000 ms gets the reply "conflict" | 200 |
            | it has restarted and loads its model | its model is being loaded                    | 3000 |

    # Guards against an engine that fails since the requests of many hosts together exceed its memory.
    Scenario Outline: What requests hold in an engine's memory is added over all hosts: <case>
        Given an owner whose loads take 255 ms, as it thinks
        When hosts report requests that hold "<tokens>" tokens
        Then the owner reports <held> tokens held in the engine's memory

        Examples:
            | case                                | tokens      | held  |
            | two hosts                           | 9000 51000  | 60000 |
            | a host that reports none            | 9000 none   | 9000  |
            | services whose speed isn't learned  | none none   | no    |
