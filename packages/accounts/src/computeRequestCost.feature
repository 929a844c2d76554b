Feature: The cost of a request

    Scenario Outline: <case>
        Then computeRequestCost of <args> gives <cost>

        Examples:
            | case                         | args                                                                                              | cost  |
            | requests are counted         | [{"unit":"requests","perSecond":1,"burst":1,"requestTokens":9},{"prompt":50,"maxOutput":5}]       | 1     |
            | prompt and output together   | [{"unit":"tokens","perSecond":1,"burst":1,"requestTokens":900},{"prompt":50000,"maxOutput":1000}] | 51000 |
            | a request without its tokens | [{"unit":"tokens","perSecond":1,"burst":1,"requestTokens":900}]                                   | 900   |
            | tokens below zero            | [{"unit":"tokens","perSecond":1,"burst":1,"requestTokens":900},{"prompt":-50,"maxOutput":5}]      | 0     |
