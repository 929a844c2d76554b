Feature: A host remembers whose claim to an engine ended last, since that owner may still order

    Scenario Outline: <case>
        Given owner keys of an engine that change so: <changes>
        Then the engine's current owner is <current>, its last owner without a release <lapsed>
        And the engine has <claimed> had an owner

        Examples:
            | case                                 | changes                        | current | lapsed | claimed |
            | no key was seen                      | none                           | none    | none   | never   |
            | a claim                              | a                              | a       | none   | once    |
            | the claim ends with the owner's lease | a, removed                     | none    | a      | once    |
            | another host claims after that       | a, removed, b                  | b       | none   | once    |
            | the owner releases it                | a, released by a               | a       | none   | once    |
            | a released key is removed            | a, released by a, removed      | none    | none   | once    |
            | the owner gave up without a release  | a, given up by a, removed      | none    | a      | once    |
            | two owners one after the other       | a, removed, b, removed         | none    | b      | once    |
            | the engine is gone for a short time  | a, removed, gone for 59000 ms  | none    | a      | once    |
            | the engine is gone for long          | a, removed, gone for 61000 ms  | none    | none   | never   |

    Scenario: The address of an owner whose entry has ended is still known
        Given owner keys of an engine that change so: a, removed
        When host a is gone for 59000 ms
        Then the address of host a is known
        When host a is gone for 61000 ms
        Then the address of host a is unknown
