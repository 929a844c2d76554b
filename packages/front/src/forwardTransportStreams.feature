Feature: The stream of a request that was handed to another host flows, breaks and ends as from an engine

    Scenario: Each event of a stream arrives before the next is written
        Given a helping host that writes each event once the last has arrived
        When the host hands over a request for a stream of 300 events
        Then the stream has arrived whole

    Scenario: A helping host stops writing while the first host does not read
        Given a helping host that writes 4096 events of 16384 bytes, each once the connection takes more
        When the host hands over a request and stops reading at the first event
        Then the helping host comes to a stop before the end
        When the host reads on
        Then all events have arrived in order

    Scenario Outline: A request ends as "<kind>" if <case>
        Given a helping host that <helper>
        When the host hands over a request for a stream
        Then the handover ends as "<kind>" after "<text>"

        Examples:
            | case                             | helper                                   | kind   | text  |
            | nobody listens                   | does not listen                          | unsent |       |
            | the host does not know the key   | this host has no key for                 | unsent |       |
            | it closes without an answer      | closes the connection without an answer  | broken |       |
            | it breaks within a length        | breaks off within a length               | broken | hello |
            | it breaks between chunks         | breaks off between chunks                | broken | hello |
            | it breaks without a length       | resets without a length                  | broken | hello |
            | its status is none of HTTP       | answers with status 600                  | broken |       |

    Scenario Outline: The helping host's response closes if the host cancels <when>
        Given a helping host that answers <when>
        When the host hands over a request and cancels it <when>
        Then the helping host's response closes before its end, and the host hears no more of it

        Examples:
            | when                     |
            | before the answer's head |
            | within the answer        |
            | while it does not read   |
