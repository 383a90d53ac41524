Feature: First events that are late or overdue
  Guards against a placing VM that goes on sending prompts to an engine that has
  fallen behind: while it does, no first event arrives from which to learn.

  Scenario: An engine whose first events are overdue
    Given two engines and 5 requests a second for 2 s
    When one of them sends no first events any more
    Then it gets at most 5 of the next 20 requests
    And with events that are never overdue it gets more

  Scenario: A first event that comes 400 ms late
    Given an engine that is expected to answer in 100 ms
    When the first event comes after 500 ms
    Then the next request is expected between 60 and 200 ms later than before
    And an event without delay lowers it again, but not below the first estimate

  Scenario: An answer that would end after its deadline
    Given an engine that spends 80 in 100 of its time in prefill
    Then an answer of 400 tokens is not placed there with a deadline in 3 s
    But one of 40 tokens is
