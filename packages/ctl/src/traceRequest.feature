Feature: A request is traced through the logs of several processes

    Background:
        Given the logs
            | line                                                                                                                    |
            | {"t":1000,"process":"front-2","event":405,"message":"request sent","id":"r1","engine":"i-1","adapter":"a7"}             |
            | 3.2 front-1 {"t":900,"process":"front-1","event":308,"message":"order answered","engine":"i-1","adapter":"a7","reply":"accepted"} |
            | {"t":905,"process":"front-1","event":308,"message":"order answered","engine":"i-1","adapter":"a8","reply":"accepted"}   |
            | {"t":1200,"process":"front-2","event":401,"message":"request failed","id":"r1","reason":"broken","outcome":"unknown"}   |
            | {"t":1100,"process":"front-1","event":212,"message":"engine gone","engine":"i-1"}                                       |
            | {"t":1100,"process":"front-1","event":212,"message":"engine gone","engine":"i-2"}                                       |
            | {"t":1100,"process":"fro                                                                                                |
            | not a log line                                                                                                          |

    Scenario: Events of other processes about the request's engine are part of the trace
        Then the trace of "r1" is
            | line                                                                        |
            | -100 ms  front-1  308  order answered  engine=i-1  adapter=a7  reply=accepted |
            | 0 ms  front-2  405  request sent  engine=i-1  adapter=a7                    |
            | 100 ms  front-1  212  engine gone  engine=i-1                               |
            | 200 ms  front-2  401  request failed  reason=broken  outcome=unknown        |

    Scenario: A request that is not in the logs has an empty trace
        Then the trace of "r2" is
            | line |
