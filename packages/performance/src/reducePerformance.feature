Feature: What is known of an engine's performance follows its samples in bounded steps

    Scenario: No sequence of samples makes an estimate jump or leave the positive numbers
        Then every estimate moves by a factor of at most 1.5 with one sample and stays positive and finite

    Scenario: Certainty grows with samples, up to a limit, and halves every 15 s without any
        Given an engine of which 40 events of 22 ms have been observed
        Then its certainty of events is 16
        When 15000 ms pass for the engine
        Then its certainty of events is 8

    Scenario: Events between two hosts' reports don't make first bytes certain
        Given an engine of which 40 events of 22 ms have been observed
        Then its certainty of first bytes is 0

    Scenario: One first byte that is far too late or too early moves the estimate little
        Given observations of an engine at 40 tokens in a millisecond
        When its next first byte takes 30000 ms
        Then it is taken to read 35 to 45 tokens in a millisecond
        When its next first byte takes 0 ms
        Then it is taken to read 35 to 45 tokens in a millisecond
