Feature: Order in which adapters are loaded

    Scenario Outline: <case>
        Then orderLoads of <args> gives <result>

        Examples:
            | case                           | args | result |
            | the most urgent goes first     | [[{"rank":2,"waitingUrgent":0,"waiting":9,"oldestMs":0},{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":5}]] | [{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":5},{"rank":2,"waitingUrgent":0,"waiting":9,"oldestMs":0}] |
            | then the most waiting requests | [[{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":0},{"rank":0,"waitingUrgent":1,"waiting":2,"oldestMs":5}]] | [{"rank":0,"waitingUrgent":1,"waiting":2,"oldestMs":5},{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":0}] |
            | then the longest wait          | [[{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":7},{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":5}]] | [{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":5},{"rank":0,"waitingUrgent":1,"waiting":1,"oldestMs":7}] |
