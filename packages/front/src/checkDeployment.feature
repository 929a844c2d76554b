Feature: Settings that the hosts' own times don't allow are refused at the start

    Scenario Outline: <case>
        Then checkDeployment of [{"bounds":{"orderLeaseMs":<lease>}}] gives <result>

        Examples:
            | case                               | lease | result                             |
            | the usual order lease              | 3000  | {"bounds":{"orderLeaseMs":3000}}   |
            | an order lease as long as the hosts' | 6000  | {"bounds":{"orderLeaseMs":6000}}   |
            | a longer one                       | 6001  | {"throws":"settings_invalid"}      |
