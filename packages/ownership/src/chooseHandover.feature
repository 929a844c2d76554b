Feature: Engines are handed over one at a time and only to a host that is a stable first choice

    Scenario Outline: <case>
        Then chooseHandover of <args> gives <result>

        Examples:
            | case                                    | args                                                                                               | result    |
            | another host is a stable choice         | [[{"engine":"e1","preferred":"b","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":0}]     | "e1"      |
            | another host became the choice recently | [[{"engine":"e1","preferred":"b","preferredSinceMs":1}],{"self":"a","nowMs":30000,"lastMs":0}]     | undefined |
            | one was handed over recently            | [[{"engine":"e1","preferred":"b","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":20001}] | undefined |
            | this host is preferred                  | [[{"engine":"e1","preferred":"a","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":0}]     | undefined |
            | no host is preferred                    | [[{"engine":"e1","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":0}]                     | undefined |
