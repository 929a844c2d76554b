Feature: A proxy that closes its port finds it free when it listens again

    # Guards against a run that fails since another process was given the port of a proxy for a connection of its own.
    Scenario: The ports of proxies are none that the kernel gives to connections
        When 20 servers listen apart
        Then each has a port of its own below 32768
