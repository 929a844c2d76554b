Feature: reduceSpread

    Scenario: every peer gets every change, under any loss that ends
        Then reduceSpread brings every peer up to date, and is then silent

    Scenario: the waits grow
        Then reduceSpread pushes to a silent peer at 0, 300, 690 and 1197 ms
