Feature: readTls reads the certificate and key files of the settings

    Scenario: The error names a file that can't be read
        Then readTls of files "nowhere.pem" fails with "settings_invalid" naming "nowhere.pem"
