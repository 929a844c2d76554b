Feature: An engine's speed rests on its own samples as far as there are any, else on its service's engines

    Scenario Outline: <case>
        Then the pace for <learned> with medians <medians> is <pace>

        Examples:
            | case                                          | learned                          | medians                                        | pace                                |
            | nothing is known: today's constants           |                                  |                                                | tokens 40.8 event 28 idle 60 work 40 |
            | nothing of this engine                        |                                  | tokenMs=0.05 eventMs=20 idleMs=10 workMs=30    | tokens 20 event 20 idle 10 work 30  |
            | many samples count most                       | tokenMs=0.1 reads=16             | tokenMs=0.05                                   | tokens 10.8 event 28 idle 60 work 40 |
            | few samples count little                      | tokenMs=0.1 reads=0.2            | tokenMs=0.05                                   | tokens 18.8 event 28 idle 60 work 40 |
            | old samples have no weight                    | tokenMs=0.1 reads=0              | tokenMs=0.05                                   | tokens 20 event 28 idle 60 work 40  |
            | slow events mean slow prompts                 | eventMs=40 events=16             | tokenMs=0.05 eventMs=20                        | tokens 10.8 event 37 idle 60 work 40  |
            | a value far from the median is bounded        | tokenMs=50 reads=16             | tokenMs=0.05                                   | tokens 2.5 event 28 idle 60 work 40 |
            | also at the lower end                         | eventMs=0.001 events=16         | eventMs=24                                     | tokens 326.4 event 3 idle 60 work 40 |
            | the work of a plain service                   | workMs=80 works=16               | workMs=40                                      | tokens 40.8 event 28 idle 60 work 74.1 |
            | values of another host that are no durations  | tokenMs=-1 reads=9               | tokenMs=0.05                                   | tokens 20 event 28 idle 60 work 40  |

    Scenario: Whatever is reported, the speed is positive, finite and near the service's
        Then all paces are positive, finite and within a factor of 8 of the medians
