Feature: A request belongs to the account of its key, or is refused in a way that its client can trust

    Scenario Outline: <case>
        Then a request with <key> key from a client on a <route> route, accounts <accounts>, configuration <config> ms, is <result>

        Examples:
            | case                                       | key     | route     | accounts | config              | result                  |
            | a known key                                | known   | usual     | lenient  | current at 0        | account a of priority 3 |
            | an unknown key                             | unknown | usual     | lenient  | current at 0        | unauthenticated         |
            | a missing key                              | no      | usual     | lenient  | current at 0        | unauthenticated         |
            | an empty key                               | empty   | usual     | lenient  | current at 0        | unauthenticated         |
            | an anonymous route                         | no      | anonymous | lenient  | current at 0        | no_account              |
            | a key on an anonymous route                | known   | anonymous | lenient  | current at 0        | no_account              |
            | a configuration without accounts           | unknown | usual     | none     | current at 0        | no_account              |
            | an unknown key, old configuration          | unknown | usual     | lenient  | old at 9000         | undecided               |
            | a missing key, old configuration           | no      | usual     | lenient  | old at 9000         | undecided               |
            | a known key during a store outage          | known   | usual     | lenient  | old at 9000000      | account a of priority 3 |
            | a known key, confirmed in time, strict     | known   | usual     | strict   | old at 5000         | account a of priority 3 |
            | a known key, not confirmed in time, strict | known   | usual     | strict   | old at 5001         | undecided               |
            | an unknown key, not confirmed, strict      | unknown | usual     | strict   | old at 5001         | undecided               |
            | a known key, never confirmed, strict       | known   | usual     | strict   | unconfirmed at 0    | undecided               |
            | a known key, never confirmed               | known   | usual     | lenient  | unconfirmed at 0    | account a of priority 3 |
            | an anonymous route, not confirmed, strict  | no      | anonymous | strict   | old at 5001         | no_account              |

    # Guards against a client that gives its request up, since a host with another version of the configuration calls it unauthenticated.
    Scenario Outline: Handed over by another host: <case>
        Then a request with <key> key from <from> on a <route> route, accounts <accounts>, configuration <config> ms, is <result>

        Examples:
            | case                                            | key     | from         | route     | accounts | config       | result                     |
            | the account is stated, no key                   | no      | a host for a | usual     | lenient  | current at 0 | account a of priority 3    |
            | the account is stated, a key isn't looked at    | unknown | a host for a | usual     | lenient  | current at 0 | account a of priority 3    |
            | an account that this host doesn't list          | no      | a host for z | usual     | lenient  | current at 0 | account z of priority none |
            | an account, this host's version has none        | no      | a host for a | usual     | none     | current at 0 | account a of priority none |
            | an account, the key was checked in time         | no      | a host for a | usual     | strict   | old at 5001  | account a of priority 3    |
            | an account, but the route is anonymous here     | no      | a host for a | anonymous | lenient  | current at 0 | no_account                 |
            | a host that states no account                   | no      | a host       | usual     | lenient  | current at 0 | undecided                  |
            | a host without accounts that leaves the key     | known   | a host       | usual     | lenient  | current at 0 | account a of priority 3    |
            | a host without accounts, no accounts here       | no      | a host       | usual     | none     | current at 0 | no_account                 |

    Scenario: Whatever a request states and a host knows, nothing runs without a listed key
        Then in 1000 random cases no key but a listed one is taken, and a final refusal is never uncertain
