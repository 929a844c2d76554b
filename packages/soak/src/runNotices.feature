# Front processes of one scenario at a time.
@processes
Feature: Engines that say that they leave, or ask for a pause, get nothing further from a front process

    # Guards against requests, reports and orders to an engine that has said in an answer that it wants none.
    Scenario: One engine leaves and two pause for 3000 ms, while the store lists all as ready
        Given the front program is bundled
        When engines of a front process leave, or pause for 3000 ms, while clients send requests
        Then the leaving engine gets no request later than 2000 ms after it has said so
        And from 500 ms after its first word to the end of its pause each pausing engine gets at most 2 requests, reports and orders
        And each pausing engine gets requests after its pause
        And no answer or run of the front process violates a guarantee
