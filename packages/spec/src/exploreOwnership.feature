Feature: The exploration of ownership finds each named defect

    Scenario Outline: The defect "<defect>" breaks an invariant
        Then the ownership defect "<defect>" breaks "<invariant>"

        Examples:
            | defect                             | invariant                                                   |
            | evict on the report alone          | nothing is evicted in use and the adapter asked for runs    |
            | names without the fence            | nothing is evicted in use and the adapter asked for runs    |
            | adopt from a lapsed owner          | no order under way evicts what another owner may grant      |
            | free a silent holder's places      | nothing is evicted in use and the adapter asked for runs    |
            | accept a grant of a lower fence    | nothing is evicted in use and the adapter asked for runs    |
            | forget the asks under way          | nothing is evicted in use and the adapter asked for runs    |
            | release before every answer        | no order under way evicts what another owner may grant      |
            | reuse after an unanswered unload   | nothing is evicted in use and the adapter asked for runs    |
            | evict before the holders answered  | nothing is evicted in use and the adapter asked for runs    |
            | free another incarnation's places  | nothing is evicted in use and the adapter asked for runs    |

    Scenario: Every defect of the code is in the table above, and without one nothing breaks
        Then the ownership exploration has 10 named defects
        And the ownership exploration without a defect breaks nothing
