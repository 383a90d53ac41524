Feature: Answers to the own interface that endpoints break off, after each byte
  Guards against an answer that its endpoint broke off and that reaches its
  caller framed as complete.

  Scenario Outline: A broken completion never ends as complete: <way>, <ends>
    Given gateways where requests are served by <way>
    When a completion with <ends> is cut after each byte
    Then a completion is complete only where the whole of it was sent

    Examples:
      | way        | ends |
      | one VM     | LF   |
      | one VM     | CRLF |
      | another VM | LF   |

  Scenario Outline: A gateway answer whose head is cut is never a success: <way>, <path>
    Given gateways where requests are served by <way>
    When the head of a gateway answer on <path> is cut after each byte
    Then no gateway answer has the status 200
    And a gateway answer is complete only where it was

    Examples:
      | way        | path                 |
      | one VM     | /services/desk/x     |
      | one VM     | /v1/chat/completions |
      | another VM | /services/desk/x     |

  Scenario Outline: A plain gateway answer that is cut is complete only where it was: <way>
    Given gateways where requests are served by <way>
    When a plain gateway answer is cut after each byte
    Then a gateway answer is complete only where it was

    Examples:
      | way        |
      | one VM     |
      | another VM |

  Scenario Outline: An event stream of a service is complete only where it was: <way>, <ends>
    Given gateways where requests are served by <way>
    When an event stream of a service with <ends> is cut
    Then a gateway answer is complete only where it was

    Examples:
      | way        | ends |
      | one VM     | LF   |
      | one VM     | CRLF |
      | another VM | LF   |
