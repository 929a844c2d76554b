Feature: An answer without end costs a host a bounded number of bytes

    # Guards against a host that runs out of memory, and takes other clients' requests with it, since an engine's answer
    # never ends, or one that comes by way of another host.
    Scenario Outline: <part> of <sender> never ends
        Given <sender> sends <part> without end
        When a client's <kind> is run there
        Then it ends as "broken", and its client has got nothing
        And the host has taken at most <most> bytes of its body

        Examples:
            | sender       | part               | kind             | most    |
            | an engine    | an event           | resumable stream | 327680  |
            | an engine    | the body of a 200  | request          | 1114112 |
            | an engine    | the body of a 500  | request          | 1114112 |
            | an engine    | a head             | request          | 0       |
            | another host | an event           | resumable stream | 327680  |
            | another host | the body of a 200  | request          | 1114112 |
            | another host | the body of a 500  | request          | 1114112 |
            | another host | a head             | request          | 0       |
