Feature: The guarantees hold while engines change owners during single faults and pairs of faults

    Scenario Outline: <faults>, fencing tokens <fencing>
        Given an ownership fleet of 2 gateways and 2 engines with 2 adapter slots, fencing tokens "<fencing>"
        When 60 requests for 5 adapters are sent to both gateways while "<faults>"
        Then every guarantee to the callers holds
        And gateways "<served by>" serve requests again

        Examples:
            | faults                              | fencing | served by |
            | nothing fails                       | ignored | 1,2       |
            | the leases lapse                    | ignored | 1,2       |
            | the leases lapse                    | checked | 1,2       |
            | the KV goes down                    | ignored | 1,2       |
            | the KV loses replies                | ignored | 1,2       |
            | an engine restarts                  | ignored | 1,2       |
            | an engine restarts                  | checked | 1,2       |
            | the loads fail                      | ignored | 1,2       |
            | the reports lag                     | ignored | 1,2       |
            | the engine connections go silent    | ignored | 1,2       |
            | a gateway stops as planned          | ignored | 2         |
            | a gateway stops as planned          | checked | 2         |
            | a gateway fails                     | ignored | 2         |
            | a gateway fails                     | checked | 2         |
            | the list drops a host               | ignored | 2         |
            | the KV goes down, an engine restarts | ignored | 1,2      |
            | the KV goes down, the reports lag   | ignored | 1,2       |
            | the leases lapse, the reports lag   | ignored | 1,2       |
            | the leases lapse, the loads fail    | ignored | 1,2       |
            | the KV loses replies, a gateway fails | checked | 2       |
            | a gateway fails, the reports lag    | ignored | 2         |
            | a gateway stops as planned, the reports lag | ignored | 2 |
            | a gateway stops as planned, an engine restarts | ignored | 2 |
            | the list drops a host, the leases lapse | ignored | 2     |
            | the list drops a host, the leases lapse | checked | 2     |
