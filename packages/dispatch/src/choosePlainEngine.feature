Feature: Plain requests go to engines with short queues, failing engines last

    Scenario Outline: <case>
        Then the plain request from domain "x" among <engines> goes to "<engine>"

        Examples:
            | case                                  | engines                           | engine |
            | the host's own domain at equal queues | a@y b@x c@z                       | b      |
            | a shorter queue elsewhere             | a@x,load=5 b@y                    | b      |
            | half of its requests fail             | a@x,fails=0.5 b@y,load=4          | b      |
            | unresponsive                          | a@x,silent b@y,load=20            | b      |
            | a connection just failed              | a@x,blocked b@y,load=20           | b      |
            | much slower than the others           | a@x,first=300 b@y,first=40,load=3 | b      |
