# Front processes of one scenario at a time.
@processes
Feature: Front processes keep the guarantees of the platform under injected faults

    Scenario Outline: <case>
        Given the front program is bundled
        When the soak of seed <seed> runs for <seconds> s with engines of <versions> software versions
        Then the soak reports no violation
        And every line that the processes wrote is a JSON log line

        Examples:
            | case        | seed | seconds | versions |
            | a short run | 1    | 4       | 1        |

    # Guards against a stream that holds events of engines of two software versions.
    Scenario: A stream goes on only at the software version that began it
        Given the front program is bundled
        When the soak of seed 3 runs for 6 s with engines of 2 software versions
        Then the soak reports no violation

    # Guards against hosts that take what a copy of the store holds for news, or go on with what it has lost.
    Scenario: The store comes back from copies, beside kills, pauses and a cut store
        Given the front program is bundled
        When the soak of seed 1 runs for 6 s with store_restores,kill,pause,store_link,new_config
        Then the soak reports no violation

    # Guards against keys and wrong accounts at engines, final refusals of valid keys, and accounts beyond their limit.
    Scenario: Clients use keys that are taken away and moved, and one account exceeds its limit
        Given the front program is bundled
        When the soak of seed 1 runs for 6 s with accounts and new_keys,store_link,store_refuses
        Then the soak reports no violation
        And the soak refused requests without a valid key and requests over a limit

    Scenario: The log of a host traces a request by its id
        Given the front program is bundled
        When a soak fleet of 2 hosts serves a "streaming" request
        Then the log of its host contains the events of the request under its id
