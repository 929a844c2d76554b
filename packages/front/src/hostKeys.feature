Feature: Odd entries below the system's own keys harm no host

    # Guards against text of a broken writer, or of another build, that a timer's function throws on.
    Scenario: Whatever text keys and values hold, what is decoded from them can be carried by keys, headers and paths
        Then of 2000 odd keys and values of the system, whatever is decoded fits into keys, headers and paths

    Scenario: Each key is decoded to what it was formatted from
        Then of 2000 names that keys can carry, each formatted key is decoded to its name again
