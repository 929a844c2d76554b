Feature: The demo runs

    Scenario: The VÖP example completes, the invoice runs once and each invalid kind of request is refused
        Then the demo of "examples/vop/resources.jsonc" completes without a failure
