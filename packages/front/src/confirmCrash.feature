Feature: A host reports the crash of an engine only if no other host has had bytes from it since

    # Guards against sound prompts that are held back since a host without paths took sound engines for crashed ones.
    Scenario Outline: <case>
        Given a host that finds an engine <probe>, from which others have had bytes <bytes>
        When an answer of it breaks off
        Then within <within> ms the host <end>

        Examples:
            | case                                             | probe   | bytes                    | within | end                             |
            | a crash                                          | gone    | 5 ms before the break    | 200    | reports a crash                 |
            | a crash, other hosts process its last bytes late | gone    | 40 ms after the break    | 200    | reports a crash                 |
            | a crash, no other host had anything              | gone    | never                    | 200    | reports a crash                 |
            | a crash, other hosts don't reply                 | gone    | nobody knows when        | 400    | reports a crash                 |
            | a crash, the question fails                      | gone    | an unanswerable question | 200    | reports a crash                 |
            | the path is lost                                 | gone    | 60 ms after the break    | 200    | counts a break, probe path_lost |
            | the path is lost, and the engine streams         | gone    | 120 ms after the break   | 200    | counts a break, probe path_lost |
            | the engine answers                               | running | 60 ms after the break    | 200    | counts a break, probe running   |
            | the engine neither answers nor refuses           | unclear | 60 ms after the break    | 400    | counts a break, probe unclear   |

    Scenario: Requests that break while the others are asked belong to the same crash
        Given a host that finds an engine gone, from which others have had bytes never
        When an answer of it breaks off
        And 100 ms later another one does
        Then within 200 ms the host reports a crash
        And the report names both requests
