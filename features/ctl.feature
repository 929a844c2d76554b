Feature: fulmarcleatctl manages a deployment through the API

    Background:
        Given a fleet of 2 gateways and 1 engines
        And an operator API
        And a ctl file "all.jsonc" with:
            """
            // An adapter and its offer, in any order
            [
                { "kind": "Offer", "metadata": { "name": "levy" }, "spec": { "adapter": "levy", "versions": ["7"], "callers": ["linz"], "priority": "urgent" } },
                { "kind": "Adapter", "metadata": { "name": "levy" }, "spec": { "baseModel": "base-13b", "versions": [{ "version": "7", "weights": "levy/7" }] } },
                { "kind": "Caller", "metadata": { "name": "linz" }, "spec": { "keyHashes": ["8f434346648f6b96df89dda901c5176b10a6d83961dd3c1ac88b59b2dc327aa4"] } },
            ]
            """

    Scenario: apply, wait, read, change and delete
        When ctl runs "diff -f all.jsonc" it exits with 6
        And ctl runs "apply --dry-run -f all.jsonc" it exits with 3
        And ctl runs "apply -f all.jsonc" it exits with 0
        Then ctl printed "Offer/levy accepted as version 4"
        When ctl runs "wait Offer levy --for=in-force" it exits with 0
        Then ctl printed "in force on 2 of 2 hosts"
        When ctl runs "apply -f all.jsonc" it exits with 0
        Then ctl printed "Offer/levy unchanged"
        When ctl runs "get Offer levy --status" it exits with 0
        Then ctl printed "Offer  levy"
        When ctl runs "list Caller -o json" it exits with 0
        Then ctl printed "linz"
        When ctl runs "history Offer levy" it exits with 0
        Then ctl printed "first-operator"
        When ctl runs "delete Adapter levy" it exits with 3
        Then ctl printed the error "Offer levy"
        When ctl runs "delete Offer levy" it exits with 0
        And ctl runs "delete Adapter levy" it exits with 0
        And ctl runs "get Adapter levy" it exits with 1
        And ctl runs "drain Upstream model-engines" it exits with 0
        And ctl runs "status" it exits with 0

    Scenario Outline: <what> exits with <exit>
        When ctl runs "<command>" it exits with <exit>
        Then ctl printed the error "<told>"

        Examples:
            | what                  | command               | exit | told                           |
            | an unknown command    | conquer               | 2    | Unknown argument               |
            | an unknown kind       | list Nothing          | 2    | Choices                        |
            | a file that is absent | apply -f none.jsonc   | 2    | none.jsonc                     |

    Scenario: the error for an invalid field contains the file, line and key
        Given a ctl file "wrong.jsonc" with:
            """
            {
                "kind": "Policy", "metadata": { "name": "p" },
                "spec": { "queueLimit": 0 }
            }
            """
        When ctl runs "apply -f wrong.jsonc" it exits with 2
        Then ctl printed the error "wrong.jsonc:3: spec.queueLimit"

    Scenario: an API that can't be reached
        Given the operator API has stopped
        When ctl runs "list Offer" it exits with 4
        Then ctl printed the error "can't be reached"

    Scenario: a request is explained
        Given adapter "fee" with versions "1" offered to caller "graz" as "urgent" with default "1"
        When caller "graz" asks gateway 1 for model "fee@1" by "completion", whole
        Then ctl explains the last answer with a step of "entry-1"
