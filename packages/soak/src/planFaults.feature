Feature: A seed names a walk over faults

    Scenario: The same seed gives the same walk, another seed another one
        Then soak walks of seed 7 are alike, and those of seed 8 differ

    Scenario: Over many seeds every kind of fault comes, in series and overlapping
        Then soak walks of 60 seeds hold 15 kinds, the same fault twice in a row, and faults that overlap
