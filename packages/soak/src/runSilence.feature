# Front processes of one scenario at a time.
@processes
Feature: Engines that fall silent for about a second keep their streams

    # Guards against a stream that a host ends although the engine that writes it goes on after a silence.
    Scenario Outline: <case>
        Given the front program is bundled
        When <engines> model engines fall silent <times> times for <ms> ms while clients of 2 hosts receive streams
        Then no stream or run violates a guarantee
        And every client has a whole stream

        Examples:
            | case                                    | engines | times | ms   |
            | one engine of four, silent for 1,300 ms | 1 of 4  | 1     | 1300 |
            | every engine, silent for 1,300 ms       | 4 of 4  | 1     | 1300 |
            | the only engine, silent for 1,300 ms    | 1 of 1  | 1     | 1300 |
            | every engine, twice silent for 1,300 ms | 4 of 4  | 2     | 1300 |
