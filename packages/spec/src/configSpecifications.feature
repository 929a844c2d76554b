Feature: Exploration of the configuration specifications

    Scenario Outline: The exploration of <specification> finds the defect "<defect>"
        Then exploring "<specification>" with the defect "<defect>" violates "<invariant>"

        Examples:
            | specification            | defect                                           | invariant                                                |
            | configuration commit     | say accepted before the write is known           | accepted is committed, not run is not                    |
            | configuration commit     | write again without reading back                 | accepted is committed, not run is not                    |
            | configuration commit     | trust a log that was cut                         | accepted is committed, not run is not                    |
            | configuration commit     | compact the log before the pages                 | nothing accepted is lost                                 |
            | configuration compaction | compact the log before the pages, read by a host | nothing accepted is lost                                 |
            | configuration compaction | read the base after the pages                    | a reader sees a prefix of the order                      |
            | configuration spread     | accept an older configuration                    | a host never goes back                                   |
            | configuration spread     | serve an incomplete configuration                | a ready host is complete                                 |
            | configuration spread     | serve an older configuration than the peers'     | a ready host is as new as its peers were                 |
            | configuration spread     | trust a compacted log alone                      | order agrees: a complete host holds a prefix of the order |

    Scenario: No violation is found without a defect
        Then exploring "configuration commit" without a defect finds no violation
        And exploring "configuration compaction" without a defect finds no violation
