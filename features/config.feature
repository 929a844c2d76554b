Feature: Accepted configuration is kept, ordered and in force everywhere

    Scenario: writers race over two APIs while replies are lost and an API is replaced
        Given a fleet of 2 gateways and 1 engines
        When 20 writers race with 400 changes, and 1 in 20 loses a reply
        Then each change was accepted, refused as a conflict, or said to be unknown
        And the watcher saw every accepted change once and in order
        And every gateway has the last change in force

    Scenario: a starting host gets the configuration from its peers when the key-value service is away
        Given a fleet of 2 gateways and 1 engines
        And an operators' API
        When operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimit":7}}
        And every gateway has the last change in force
        And the configuration's key-value service goes down
        And a further gateway starts
        Then the further gateway has the last change in force

    Scenario: a starting host without peers and without the key-value service does not serve
        Given a fleet of 0 gateways and 1 engines
        And the configuration's key-value service goes down
        When a further gateway starts
        Then the further gateway is not ready

    Scenario: the log is compacted into its pages, and a starting host reads them
        Given a fleet of 0 gateways and 1 engines
        When 150 Callers are accepted by an API that compacts its log over 4096 bytes
        Then the configuration's log holds fewer than 140 changes
        And a further gateway starts
        And the further gateway has the last change in force

    Scenario: one watching host pushes changes to its peers
        Given a fleet of 4 gateways of one failure domain, 1 of them watching
        And an operators' API
        When operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimit":7}}
        Then every gateway has the last change in force
        And the gateways pushed changes

    Scenario: a host that watches is replaced, and another watches
        Given a fleet of 4 gateways of one failure domain, 1 of them watching
        And an operators' API
        When the watching gateway stops
        And operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimit":7}}
        Then every gateway has the last change in force
