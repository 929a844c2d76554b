Feature: Only hosts may hand requests to another host

    Scenario Outline: A request <case> is refused, and nothing of its body is read
        Given a forward server
        When a request comes <arrival>, and its client waits with the body of <bytes> bytes
        Then it is refused with 403 as not run, and its connection is closed
        And the refusal is counted and logged with the reason "<reason>"

        Examples:
            | case                    | arrival                              | bytes   | reason   |
            | without a mark          | without the header of the mark       | 0       | no_mark  |
            | without a mark          | without the header of the mark       | 1048576 | no_mark  |
            | without the mark's code | without the header of the code       | 0       | bad_mark |
            | without an id           | without the header of the request id | 0       | bad_mark |
            | with a forged code      | with a forged code                   | 1048576 | bad_mark |
            | with a changed mark     | with another mark                    | 0       | bad_mark |
            | with another key        | signed with another key              | 0       | bad_mark |
            | for another host        | signed for another host              | 0       | bad_mark |
            | for another method      | signed for another method            | 0       | bad_mark |
            | for another path        | signed for another path              | 0       | bad_mark |
            | for another request     | signed for another request           | 0       | bad_mark |
            | whose text is no mark   | signed with a text that is no mark   | 0       | bad_mark |

    Scenario: The handler sees the request without its mark
        Given a forward server
        When a request comes as it was signed
        Then it is handled, and none of its headers names the mark
        And no refusal is counted or logged

    Scenario: A mark is checked for each request of a connection
        Given a forward server
        When a request comes as it was signed
        And its mark comes again on the same connection with another request
        Then only the first request is handled, and the connection is closed
