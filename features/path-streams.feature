Feature: An answer is whole and exact, or ends with a clear error

    Background:
        Given a path fleet of 2 gateways and 3 engines with silence found in 400 ms
        And adapter "levy" with versions "6,7" offered to caller "linz" as "urgent" with default "7"

    Scenario Outline: A broken stream is resumed, <kind> <mode>
        Given path engines cut streams after 3 tokens
        When caller "linz" asks gateway 1 for model "levy@7" by "<kind>", <mode>
        Then the answer is whole and ran "levy@7"
        And path streams were resumed
        And path engines began the request 1 time

        Examples:
            | kind       | mode     |
            | completion | streamed |
            | chat       | whole    |

    Scenario: A streamed answer that can't be resumed ends with an error and without its end mark
        Given path engines cut streams after 3 tokens
        And path engines can't resume
        When caller "linz" asks gateway 1 for model "levy@7" by "completion", streamed
        Then path answer breaks off within "levy@7:0 levy@7:1 levy@7:2 " with "stream_broken" and "ran"

    Scenario: A stream that falls silent is found and resumed on a new connection
        When caller "linz" streams 150 tokens of "levy@7" and connections fall silent after the first
        Then path answer holds 150 tokens of "levy@7" in order
        And path streams were resumed

    Scenario: A caller that goes away cancels its stream on the engine
        When caller "linz" streams 5000 tokens of "levy@7" and goes away after the first
        Then path engine run ends as "cancelled"
        And path gateways hold no place

    Scenario Outline: The deadline ends a running answer at once, <mode>
        When caller "linz" asks for 5000 tokens of "levy@7" within 1500 ms, <mode>
        Then path answer says "deadline_passed" and "ran"
        And path engine run ends as "cancelled"
        And path gateways hold no place

        Examples:
            | mode     |
            | whole    |
            | streamed |

    Scenario: The deadline ends a request that waits for its adapter
        Given path weight store stalls loads for 5000 ms
        When caller "linz" asks for 5 tokens of "levy@7" within 2500 ms, whole
        Then path answer says "deadline_passed" and "not_run"
        And path engines began the request 0 times
        And path gateways hold no place

    Scenario: An answer of another adapter is never delivered
        Given path engines say that they ran "arcade@1#1"
        When caller "linz" asks gateway 1 for model "levy@7" by "completion", whole
        Then path answer says "adapter_mismatch" and "ran"
        And path answer holds no text

    Scenario: A planned stop lets a long stream finish and takes no new work
        When caller "linz" streams 400 tokens of "levy@7" at gateway 1 and the gateway stops after the first
        Then path gateway 1 was not ready before its stop ended
        And path answer holds 400 tokens of "levy@7" in order
        And path engine run ends as "finished"
