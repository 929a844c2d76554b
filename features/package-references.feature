Feature: A package's project references cover what it imports

    # A missing reference lets `tsc -b` build a package before one that it needs, which fails only in a clean checkout.
    Scenario: Each package references and declares the packages that its sources import
        Then each package has a project reference to every package that it imports
        And each package declares every package that it imports
