Feature: A seed determines the plan of faults

    Scenario: The same seed gives the same plan, another seed a different one
        Then soak plans of seed 7 are equal, and those of seed 8 differ

    Scenario: Many seeds together cover every kind of fault, repeated and overlapping faults
        Then soak plans of 60 seeds contain 19 kinds of faults, the same fault twice in a row, and overlapping faults
