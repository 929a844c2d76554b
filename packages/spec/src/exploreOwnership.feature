Feature: Exploration of the ownership specification

    Scenario Outline: The exploration finds the defect "<defect>"
        Then the ownership defect "<defect>" violates "<invariant>"

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

    Scenario: The table above lists every named defect, and no violation is found without a defect
        Then the ownership specification has 10 named defects
        And the exploration of ownership without a defect finds no violation
