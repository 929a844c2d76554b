Feature: A host that has lost its path to an engine hands its ownership over to a host that reaches it

    # Guards against engines without loads at all hosts because their owners can't order.
    Scenario Outline: <hosts> hosts, <cut>, engines <check> fences
        Given <hosts> hosts in 3 failure domains that own 12 engines, which <check> fences
        When <cut> lose their paths to the engines
        Then within <within> ms each engine of theirs takes orders of another host under a higher fence
        And for 8000 ms more the hosts without paths send no orders and own no engine
        And no order came while a former owner's could still be carried out

        Examples:
            | hosts | cut               | check  | within |
            | 2     | 1 host            | check  | 1300   |
            | 8     | 1 host            | check  | 1300   |
            | 8     | 4 hosts           | check  | 1700   |
            | 8     | all of a domain   | check  | 1300   |
            | 8     | all hosts but one | check  | 2100   |
            | 90    | all of a domain   | check  | 1200   |
            | 8     | all of a domain   | ignore | 4500   |

    # Guards against a host that owned an engine before and takes it back as soon as its path returns.
    Scenario: The path returns
        Given 8 hosts in 3 failure domains that own 12 engines, which check fences
        When 1 host lose their paths to the engines
        And 3000 ms later all paths are back
        Then for 10000 ms the owners stay the same

    # Guards against a handover that is lost, and against orders by a host that doesn't know whether it was written.
    Scenario Outline: The store <mode> calls <from> ms after the loss for <for> ms
        Given 8 hosts in 3 failure domains that own 12 engines, which check fences
        When 1 host lose their paths to the engines, and <from> ms later the store is <mode> for <for> ms
        Then within 3000 ms each engine of theirs takes orders of another host under a higher fence
        And for 8000 ms more the hosts without paths send no orders and own no engine

        Examples:
            | mode      | from | for  |
            | rejecting | 0    | 2000 |
            | silent    | 0    | 2000 |
            | silent    | 210  | 2000 |
            | silent    | 450  | 2000 |
            | rejecting | 450  | 4000 |

    Scenario: A path that returns while the handover is under way and the store is away
        Given 8 hosts in 3 failure domains that own 12 engines, which check fences
        When 1 host lose their paths to the engines, and 210 ms later the store is silent for 2000 ms
        And 0 ms later all paths are back
        Then within 3000 ms each engine takes orders
        And no order has a fence below one before it

    # Guards against a host that goes on to order since it doesn't know that it has given its engine up.
    Scenario: A handover is written without a reply, and the path returns
        Given 8 hosts in 3 failure domains that own 12 engines, which check fences
        When 1 host lose their paths to the engines, and the store falls silent once a handover is written
        And 700 ms later all paths are back
        And 1500 ms later the store serves again
        Then within 3000 ms each engine takes orders
        And no host orders under a fence that it has given up

    Scenario: No host reaches the engines
        Given 8 hosts in 3 failure domains that own 12 engines, which check fences
        When all hosts lose their paths to the engines
        Then for 10000 ms the owners stay the same
        When 0 ms later all paths are back
        Then within 1000 ms each engine takes orders
        And for 5000 ms the owners stay the same

    # Guards against a restarted host that claims its engines again although it can't order them.
    Scenario: A host without paths restarts
        Given 8 hosts in 3 failure domains that own 12 engines, which check fences
        When 1 host restart without paths to the engines
        Then within 1500 ms each engine of theirs takes orders of another host under a higher fence
        And for 8000 ms more the hosts without paths send no orders and own no engine

    # Guards against a next owner that orders while an order of the owner before the last may still be carried out.
    Scenario: The next owner loses its paths as well
        Given 3 hosts in 3 failure domains that own 12 engines, which ignore fences
        When 1 host lose their paths to the engines
        And 1500 ms later 1 host more
        Then within 8000 ms each engine of theirs takes orders of another host under a higher fence
        And no order came while a former owner's could still be carried out

    # Guards against a next owner that orders while an order of a stopped host may still be carried out.
    Scenario Outline: A host stops <when>, engines <check> fences
        Given 8 hosts in 3 failure domains that own 12 engines, which <check> fences
        When all hosts lose their paths to the engines
        And <lost> ms later 1 host stops
        And 300 ms later all paths are back
        Then within <within> ms each engine takes orders
        And no order came while a former owner's could still be carried out

        Examples:
            | when                                | check  | lost | within |
            | while its orders are unanswered     | ignore | 300  | 4500   |
            | while its orders are unanswered     | check  | 300  | 1300   |
            | just after its last orders are sent | ignore | 110  | 4500   |

    # Guards against engines that change hands with each short loss of a path.
    Scenario: Paths come and go
        Given 3 hosts in 3 failure domains that own 12 engines, which check fences
        When for 20000 ms one host after the other loses its paths for 400 ms
        Then no host has handed the same engine over twice within 3000 ms
