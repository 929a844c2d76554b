Feature: A host learns which of its paths to engines are open

    # Guards against paths that are never probed, and so count as lost for good, where there are many engines.
    Scenario Outline: <engines> engines, of which nothing reaches a host that loses its paths
        Given a host before <engines> engines, none of which it reaches
        When 2 requests find no connection
        Then each engine is probed within <first ms> ms, and again every <again ms> ms

        Examples:
            | engines | first ms | again ms |
            | 2       | 400      | 1400     |
            | 42      | 800      | 1800     |
            | 82      | 1400     | 2400     |
            | 124     | 2000     | 3000     |
            | 300     | 4200     | 5200     |

    # Guards against paths that count as lost after they are back.
    Scenario Outline: The paths to <engines> engines are back, and no request uses them
        Given a host before <engines> engines, none of which it reaches
        When <engines> requests find no connection
        And the paths are back after 10000 ms
        Then no engine is suspect from <after ms> ms after that on

        Examples:
            | engines | after ms |
            | 42      | 1600     |
            | 124     | 3000     |
            | 300     | 5000     |

    # Guards against hosts that help nobody because they have had no requests, and against asks that wait for an engine.
    Scenario Outline: A host is asked which engines it hears from: <case>
        Given a host before 1 engines, none of which it reaches
        And its paths become open: <open>; a report takes <report ms> ms
        And bytes came from the engine <heard ms> ms ago
        When another host asks which engines it hears from
        Then the reply comes within <reply ms> ms and says that it hears from <heard> engines
        And <probes> reports were asked for

        Examples:
            | case                          | open  | report ms | heard ms | reply ms | heard | probes |
            | bytes came just now           | true  | 0         | 200      | 0        | 1     | 0      |
            | the engine is quiet           | true  | 0         | 20000    | 0        | 1     | 1      |
            | it is quiet and can't be seen | false | 0         | 20000    | 0        | 0     | 1      |
            | its report is late            | true  | 250       | 20000    | 100      | 0     | 1      |

    # Guards against an owner that gives an engine up, and failures that aren't counted, after the engine has restarted.
    Scenario Outline: The only engine stops for <stopped ms> ms; others hear it <others ms> ms after its start
        Given a host before 1 engines, none of which it reaches
        When 1 requests find no connection
        And the engine starts after <stopped ms> ms, and another host hears it <others ms> ms later
        Then its path never counts as lost within 3000 ms

        Examples:
            | stopped ms | others ms |
            | 900        | 50        |
            | 1100       | 50        |
            | 1500       | 50        |
            | 2500       | 100       |
            | 2500       | 800       |

    Scenario: The path to an engine is lost that another host hears
        Given a host before 1 engines, none of which it reaches
        When 1 requests find no connection
        And the engine runs all the while, and another host hears it
        Then its path counts as lost within 2600 ms
