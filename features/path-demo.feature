Feature: The demo shows what it says

    Scenario: The VÖP example runs through, the invoice runs once and each refused kind is refused
        Then demo of "examples/vop/resources.jsonc" fails at nothing
