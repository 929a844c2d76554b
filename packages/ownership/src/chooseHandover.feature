Feature: Engines move to a host that has come one at a time and only once it is steady

    Scenario Outline: <case>
        Then chooseHandover of <args> gives <result>

        Examples:
            | case                            | args                                                                                                                | result    |
            | another host is steady          | [[{"engine":"e1","preferred":"b","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":0}]                      | "e1"      |
            | another host has just come      | [[{"engine":"e1","preferred":"b","preferredSinceMs":1}],{"self":"a","nowMs":30000,"lastMs":0}]                      | undefined |
            | one was handed over just before | [[{"engine":"e1","preferred":"b","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":20001}]                  | undefined |
            | this host is preferred          | [[{"engine":"e1","preferred":"a","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":0}]                      | undefined |
            | no host is known                | [[{"engine":"e1","preferredSinceMs":0}],{"self":"a","nowMs":30000,"lastMs":0}]                                      | undefined |
