Feature: choosePage

    Scenario: names are distributed evenly over the pages
        Then choosePage distributes 100000 names over all pages, each with less than twice the mean
