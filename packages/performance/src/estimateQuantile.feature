Feature: A quantile of samples in which recent ones have more weight

    Scenario Outline: <case>
        Then estimateQuantile of samples <samples> for share <share> at <at> ms gives <result>

        Examples:
            | case                                    | samples                     | share | at    | result    |
            | no samples                              |                             | 0.5   | 0     | undefined |
            | one sample                              | 10@0                        | 0.9   | 99999 | 10        |
            | the median                              | 10@0 30@0 20@0              | 0.5   | 0     | 20        |
            | one outlier changes little              | 10@0 11@0 9@0 10@0 9000@0   | 0.5   | 0     | 10        |
            | newer samples count more with time      | 10@0 10@0 10@0 90@9000 90@9000 90@9000 | 0.5 | 9000 | 90  |
            | samples of the same moment count alike  | 10@0 10@0 10@0 90@0 90@0    | 0.5   | 0     | 10        |
            | old samples alone keep their value      | 10@0 30@0 20@0              | 0.5   | 99999 | 20        |
            | a high quantile                         | 10@0 20@0 30@0 40@0         | 0.75  | 0     | 30        |
