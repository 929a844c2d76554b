Feature: The settings page lists the constants of the platform path

    Scenario: Each numeric constant is on the page with its value and meaning
        Then "docs/SETTINGS.md" lists every numeric constant of the platform path
