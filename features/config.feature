Feature: Accepted configuration changes are durable, ordered and in effect on every host

    Scenario: concurrent writers use two APIs while replies are lost and an API is replaced
        Given a fleet of 2 gateways and 1 engines
        When 20 concurrent writers send 400 changes, and 1 in 20 loses a reply of the key-value service
        Then each change was accepted, refused as a conflict, or reported as unknown
        And the watch delivered every accepted change once and in order
        And every gateway has the last change in effect

    Scenario: a starting host receives the configuration from its peers while the key-value service is unavailable
        Given a fleet of 2 gateways and 1 engines
        And an operator API
        When operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimit":7}}
        And every gateway has the last change in effect
        And the key-value service of the configuration goes down
        And a further gateway starts
        Then the further gateway has the last change in effect

    Scenario: a starting host without peers and key-value service is not ready
        Given a fleet of 0 gateways and 1 engines
        And the key-value service of the configuration goes down
        When a further gateway starts
        Then the further gateway is not ready

    Scenario: the log is compacted into its pages, and a starting host reads them
        Given a fleet of 0 gateways and 1 engines
        When 150 Callers are accepted by an API that compacts its log over 4096 bytes
        Then the configuration log contains fewer than 140 changes
        And a further gateway starts
        And the further gateway has the last change in effect

    Scenario: one watching host pushes changes to its peers
        Given a fleet of 4 gateways of one failure domain, 1 of them watching
        And an operator API
        When operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimit":7}}
        Then every gateway has the last change in effect
        And the gateways pushed changes to each other

    Scenario: another host watches after the watching host stops
        Given a fleet of 4 gateways of one failure domain, 1 of them watching
        And an operator API
        When the watching gateway stops
        And operator POSTs "Policy" {"kind":"Policy","metadata":{"name":"p"},"spec":{"queueLimit":7}}
        Then every gateway has the last change in effect
