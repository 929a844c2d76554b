Feature: Hosts exchange grants over their connections

    # Guards against messages that the encoding between hosts changes.
    Scenario: A host is granted, refused and given back what another host decides
        Given two hosts that are connected, and an account of 1 requests a second with a burst of 2
        When the host that is not the granter asks for 4 requests
        Then 2 of them are granted by the granter, and the others are told to return later
        And after one is given back, 1 more is granted
