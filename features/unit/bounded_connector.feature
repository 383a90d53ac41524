Feature: What endpoints may send before a response
  Guards against interim responses and replies to cancellations without end,
  which filled the memory of a VM of the own interface.

  Scenario: Interim responses without end fail the request
    Given an endpoint that sends interim responses without end
    When 20 requests are sent to it at once
    Then each of them fails within 10 s
    And at most 30000000 bytes were held meanwhile

  Scenario Outline: <count> interim responses precede a whole response
    Given an endpoint that sends <count> interim responses before each response
    When 20 requests are sent to it one after the other
    Then each of them gets the whole response

    Examples:
      | count |
      | 0     |
      | 3     |
      | 16    |

  Scenario: The reply to a cancellation has no end
    Given an endpoint that answers without end
    When it is asked to cancel 20 requests
    Then at most 30000000 bytes were held meanwhile
