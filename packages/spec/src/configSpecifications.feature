Feature: The specifications of configuration find every named defect

    Scenario Outline: <specification>: <defect>
        Then exploring "<specification>" with the defect "<defect>" breaks "<invariant>"

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

    Scenario: nothing is found without a defect
        Then exploring "configuration commit" as it is finds nothing
        And exploring "configuration compaction" as it is finds nothing
