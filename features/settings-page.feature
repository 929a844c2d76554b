Feature: The page of settings lists what the platform path decides by

    Scenario: Every named number stands on the page with its value and meaning
        Then "docs/SETTINGS.md" lists every named number of the platform path
