Feature: Memory for input of the own interface
  Guards against bodies that wait for memory for ever, against slow ones that keep
  it, and against refusals that don't say that the request did not run.

  Scenario: A body that waits for memory goes on when another request ends
    Given an intake filled by one customer
    When another body of that customer has to wait and the first request ends
    Then the intake lets the waiting body go on

  Scenario: A body that waits is refused when memory stays short
    Given an intake filled by one customer
    When another body of that customer waits while the first does not end
    Then the intake ends the waiting body as not run with 503 and Retry-After

  Scenario: Whole bodies that don't fit are refused and leave nothing behind
    Given an intake filled by one customer
    When small bodies of that customer arrive until one is refused
    Then the intake holds nothing after all requests ended
