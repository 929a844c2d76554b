Feature: Hosts of a fleet learn the speed of engines from the requests that they serve

    Scenario: Engines that state how long work takes
        When clients send requests to a fleet of 6 hosts for 6 s, whose engines state 250 percent of the usual time
        Then each host has a pace of the engines of both services
        And hosts have events to report

    Scenario: Engines that don't
        When clients send requests to a fleet of 6 hosts for 6 s, whose engines state nothing
        Then no host has a pace of any engine, nor anything to report
