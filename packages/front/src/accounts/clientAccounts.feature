Feature: Requests are served by the account of their key, which no engine, host, log line or counter learns

    Scenario Outline: <case>
        Given a host with the accounts "<accounts>"
        When a request with the headers "<headers>" arrives for "<path>"
        Then the account's client gets 200
        And what is sent states the account "<account>", urgency <urgency> and the client's headers "<others>"

        Examples:
            | case                                      | accounts        | path    | headers                        | account | urgency | others    |
            | a known key, no priority of the account   | a:k1            | /usual/ | Credential k1                  | a       | 5       |           |
            | an account that is more urgent            | a:k1:2          | /usual/ | Credential k1                  | a       | 2       |           |
            | an account of priority 0                  | a:k1:0          | /usual/ | Credential k1                  | a       | 0       |           |
            | an account that is less urgent            | a:k1:7 b:k2     | /usual/ | Credential k1                  | a       | 7       |           |
            | the client states another account         | a:k1 b:k2       | /usual/ | Credential k1, Tenant b, x-a 1 | a       | 5       | x-a 1     |
            | the client states an account twice        | a:k1            | /usual/ | tenant b, Credential k1, TENANT c | a    | 5       |           |
            | an anonymous route                        | a:k1:2          | /open/  |                                | none    | 5       |           |
            | a key and an account, an anonymous route  | a:k1:2          | /open/  | Credential k1, Tenant a        | none    | 5       |           |
            | no accounts: the client's header stays    | none            | /usual/ | Credential k1, Tenant b        | none    | 5       | Tenant b  |
            | no accounts, no such headers              | none            | /usual/ | x-a 1                          | none    | 5       | x-a 1     |

    Scenario Outline: Refused: <case>
        Given a host with the accounts "<accounts>"
        And its configuration was confirmed <age> ms ago
        When a request with the headers "<headers>" arrives for "<path>"
        Then the account's client gets <status>
        And the refusal says "<code>", and when to return: "<returns>"
        And nothing has been sent to an engine or another host

        Examples:
            | case                                  | accounts | age  | path    | headers       | status | code            | returns |
            | no key                                | a:k1     | 0    | /usual/ |               | 401    | unauthenticated | never   |
            | an unknown key                        | a:k1     | 2700 | /usual/ | Credential k2 | 401    | unauthenticated | never   |
            | the account's name as a key           | a:k1     | 0    | /usual/ | Credential a  | 401    | unauthenticated | never   |
            | a list without accounts               |          | 0    | /usual/ | Credential k1 | 401    | unauthenticated | never   |
            | an unknown key, old configuration     | a:k1     | 2701 | /usual/ | Credential k2 | 503    | not_ready       | 0.300   |
            | no key, old configuration             | a:k1     | 2701 | /usual/ |               | 503    | not_ready       | 0.300   |
            | no configuration                      | unknown  | 0    | /usual/ | Credential k1 | 503    | not_ready       | 0.300   |
            | an unknown route                      | a:k1     | 0    | /other/ |               | 404    | not_found       | never   |
            | an unknown route, old configuration   | a:k1     | 2701 | /other/ |               | 503    | not_ready       | 0.300   |

    # Guards against a store outage that stops service, and against revoked keys that go on where the deployment forbids it.
    Scenario Outline: A configuration that was confirmed <age> ms ago, <bound>
        Given a host with the accounts "a:k1"
        And its configuration was confirmed <age> ms ago
        And <bound>
        When a request with the headers "Credential k1" arrives for "<path>"
        Then the account's client gets <status>

        Examples:
            | age     | bound                                        | path    | status |
            | 5000    | keys must have been confirmed within 5000 ms | /usual/ | 200    |
            | 5001    | keys must have been confirmed within 5000 ms | /usual/ | 503    |
            | 5001    | keys must have been confirmed within 5000 ms | /open/  | 200    |
            | 9000000 | its configuration was confirmed 9000000 ms ago | /usual/ | 200    |

    # Guards against a key that counts for as long as its connection is open.
    Scenario: Keys are added, moved and removed while a connection is open
        Given a host with the accounts "a:k1 b:k2"
        When a request with the headers "Credential k1" arrives for "/usual/"
        Then what is sent states the account "a", urgency 5 and the client's headers ""
        When the accounts become "a: b:k2,k1:1"
        And a request with the headers "Credential k1" arrives for "/usual/"
        Then what is sent states the account "b", urgency 1 and the client's headers ""
        When the accounts become "a: b:k2"
        And a request with the headers "Credential k1" arrives for "/usual/"
        Then the account's client gets 401
        When the accounts become "a:k1"
        And a request with the headers "Credential k1" arrives for "/usual/"
        Then the account's client gets 200
        And all requests came on one connection

    # Guards against a removed key that runs since its request's body took longer than the configuration.
    Scenario Outline: While a request's body arrives, <case>
        Given a host with the accounts "<before>"
        When the beginning of a request with the headers "Credential k1" arrives for "/usual/"
        And the accounts become "<after>"
        And its end arrives
        Then the account's client gets <status>

        Examples:
            | case                          | before | after | status |
            | its key is removed            | a:k1   | a:k2  | 401    |
            | its key is moved              | a:k1   | b:k1  | 200    |
            | accounts are introduced       | none   | a:k2  | 401    |
            | accounts are no longer listed | a:k1   | none  | 200    |
            | nothing changes               | a:k1   | a:k1  | 200    |

    Scenario Outline: Another host hands a request over: <case>
        Given a host with the accounts "<accounts>"
        And another host hands requests over, which states <statement>
        When a request with the headers "<headers>" arrives for "/usual/"
        Then the account's client gets 200
        And what is sent states the account "<account>", urgency <urgency> and the client's headers ""

        Examples:
            | case                               | accounts | statement       | headers       | account | urgency |
            | no key is needed                   | a:k1:2   | the account "a" |               | a       | 2       |
            | a key isn't looked at              | a:k1:2   | the account "a" | Credential k9 | a       | 2       |
            | the account isn't listed here      | a:k1:2   | the account "z" |               | z       | 5       |
            | no accounts are listed here        | none     | the account "a" |               | a       | 5       |
            | no accounts anywhere               | none     | no account      |               | none    | 5       |

    # Guards against a final refusal by a host that was handed a request by one with another version of the configuration.
    Scenario: A request that another host hands over without its account is refused for a time only
        Given a host with the accounts "a:k1"
        And another host hands requests over, which states no account
        When a request with the headers "" arrives for "/usual/"
        Then the account's client gets 503
        And nothing has been sent to an engine or another host

    Scenario Outline: A request is handed to another host, <case>
        Given a host with the accounts "<accounts>"
        And it reaches no engine, but another host
        When a request with the headers "Credential k1, Tenant b, x-a 1" arrives for "/usual/"
        Then the account's client gets 200
        And the other host is told of the account "<told>"
        And what is sent states the account "none", urgency none and the client's headers "<others>"

        Examples:
            | case             | accounts | told | others         |
            | with its account | a:k1     | a    | x-a 1          |
            | without accounts | none     | none | Tenant b x-a 1 |

    Scenario: Permits of engines that name limits are asked for at the account's priority
        Given a host with the accounts "a:k1:2"
        When a request with the headers "Credential k1" arrives for "/usual/"
        Then permits have been asked for at priority 2

    Scenario Outline: Shedding goes by the request's priority, not the route's
        Then a request of priority <priority> on a route of priority <route> that would wait long is <result>

        Examples:
            | priority | route | result |
            | 0        | 3     | sent   |
            | 3        | 0     | shed   |

    Scenario: Log lines and counters name the account, and never a key
        Given a host with the accounts "a:key-one"
        When a request with the headers "Credential key-one" arrives for "/usual/"
        Then the log lines "405 406" name the account "a"
        When a request with the headers "Credential key-two" arrives for "/usual/"
        Then the account's client gets 401
        And refusals of the account "" as "unauthenticated" are counted 1 times
        And no log line, counter or sent request holds "key-"

    Scenario: Without accounts, no counter or log line names one
        Given a host with the accounts "none"
        When a request with the headers "Credential k1" arrives for "/usual/"
        And a request with the headers "" arrives for "/other/"
        Then no counter or log line names an account
