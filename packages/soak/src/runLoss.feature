# Front processes of one scenario at a time.
@processes
Feature: Streams go on after a loss of all hosts

    # Guards against a first event that reaches its client before the store knows the stream's software version.
    Scenario: All hosts are lost within a second after streams began, while two software versions serve
        Given the front program is bundled
        When all hosts of a fleet with engines of 2 software versions are lost by seed 3
        Then every stream of which its client had an event went on at its own version
