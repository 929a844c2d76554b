Feature: readTls reads the files that settings name

    Scenario: A file that can't be read is named
        Then readTls of files "nowhere.pem" fails with "settings_invalid" naming "nowhere.pem"
