Feature: choosePage

    Scenario: pages spread evenly
        Then choosePage spreads 100000 names over all pages, none with more than twice the mean
