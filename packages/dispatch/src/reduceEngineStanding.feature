Feature: An engine that has said that it leaves, or asked for a pause, gets no request

    # Guards against an engine that gets requests in its pause, or all of them at once when the pause ends.
    Scenario Outline: <case>
        Then an engine after "<messages>" is "<closure>" at <at> ms

        Examples:
            | case                                             | messages                                  | at    | closure           |
            | has said nothing                                 |                                           | 0     | open              |
            | leaves                                           | leaving@5                                 | 9     | leaving           |
            | leaves, and it stays so                          | leaving@5 accepted:9                      | 90000 | leaving           |
            | a pause                                          | pause:2000@100                            | 2099  | paused until 2100 |
            | a pause that is over                             | pause:2000@100                            | 2100  | open              |
            | a pause of no time                               | pause:0@100                               | 100   | open              |
            | a pause that can't be read                       | unreadable@100                            | 101   | open              |
            | a shorter pause in a longer one                  | pause:2000@100 pause:500@200              | 900   | paused until 2100 |
            | a longer pause in a shorter one                  | pause:500@100 pause:2000@200              | 900   | paused until 2200 |
            | a pause without end                              | pause:1e30@0                              | 1     | paused until 600000 |
            | leaves in a pause                                | pause:2000@100 leaving@200                | 300   | leaving           |
            | one request after a pause                        | pause:2000@100 sent                       | 2200  | recovering        |
            | one answered after a pause                       | pause:2000@100 sent accepted:2150         | 2300  | open              |
            | two more after it                                | pause:2000@100 sent accepted:2150 sent sent | 2300 | recovering       |
            | one that failed after a pause                    | pause:2000@100 sent failed:2150           | 2300  | open              |
            | an answer to a request from before the pause     | pause:2000@100 sent accepted:50           | 2300  | recovering        |
            | turned away again after a pause                  | pause:2000@100 sent pause:1000@2200       | 2300  | paused until 3200 |
            | turned away again, and that pause is over        | pause:2000@100 sent pause:1000@2200       | 3200  | open              |
            | few answered after a pause, more are sent | pause:2000@100 round:14 burst:17 | 2300 | recovering |
            | enough answered after a pause | pause:2000@100 round:15 burst:17 | 2300 | open |
