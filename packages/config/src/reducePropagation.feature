Feature: reducePropagation

    Scenario: every peer gets every change despite temporary message loss
        Then reducePropagation brings every peer up to date, then stops pushing

    Scenario: the wait between repeated pushes grows
        Then reducePropagation pushes to an unresponsive peer at 0, 300, 690 and 1197 ms
