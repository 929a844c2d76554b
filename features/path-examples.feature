Feature: The examples match the schemas and the sizes of their deployments

    Scenario Outline: <example>
        Then the examples of "<example>" hold 6 gateways in "<domains>", <engines> engines of "<upstream>" and <hosts> hosts of "<service>"

        Examples:
            | example  | domains                           | engines | upstream    | hosts | service        |
            | vop      | linz-c,wien-a,wien-b              | 6       | bericht-llm | 3     | mitglieder-app |
            | vestkyst | aarhus,esbjerg,fredericia,herning | 6       | oliemodel   | 4     | labportal      |
