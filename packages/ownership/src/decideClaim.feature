Feature: A host claims an engine only if no other host owns it

    Scenario Outline: <case>
        Then decideClaim of <args> gives <result>

        Examples:
            | case                                  | args                                                                                                                                      | result                                         |
            | it had no owner                       | [{"self":"a","incarnation":"1","isPreferred":true}]                                                                                       | {"kind":"claim","fence":1,"former":"none"}     |
            | it had no owner, another is preferred | [{"self":"a","incarnation":"1","isPreferred":false}]                                                                                      | {"kind":"wait"}                                |
            | this host owns it                     | [{"self":"a","incarnation":"1","isPreferred":true,"record":{"host":"a","incarnation":"1","fence":4,"released":false}}]                    | {"kind":"own","fence":4}                       |
            | it was released                       | [{"self":"a","incarnation":"1","isPreferred":true,"record":{"host":"b","incarnation":"1","fence":4,"released":true}}]                     | {"kind":"claim","fence":5,"former":"released"} |
            | the owner's lease is valid            | [{"self":"a","incarnation":"1","isPreferred":true,"ownerSession":"1","record":{"host":"b","incarnation":"1","fence":4,"released":false}}] | {"kind":"wait"}                                |
            | the owner's lease expired             | [{"self":"a","incarnation":"1","isPreferred":true,"record":{"host":"b","incarnation":"1","fence":4,"released":false}}]                    | {"kind":"claim","fence":5,"former":"lapsed"}   |
            | the owner's host was replaced         | [{"self":"a","incarnation":"1","isPreferred":true,"ownerSession":"2","record":{"host":"b","incarnation":"1","fence":4,"released":false}}] | {"kind":"claim","fence":5,"former":"gone"}     |
            | this host was replaced                | [{"self":"a","incarnation":"2","isPreferred":true,"record":{"host":"a","incarnation":"1","fence":4,"released":false}}]                    | {"kind":"claim","fence":5,"former":"gone"}     |
