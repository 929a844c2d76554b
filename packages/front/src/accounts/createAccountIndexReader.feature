Feature: The index of accounts follows the configuration

    # Guards against an index that is built for each request, and against one of a former version.
    Scenario: Versions with other accounts, and without any
        Then an account index is built once for each version of the configuration, and dropped with it
