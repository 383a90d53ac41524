Feature: What endpoints say about themselves in their answers
  Guards against requests that reach an endpoint after it said in an answer that
  it is leaving, or that it wants none for some time, because only its
  registration was heeded.

  Scenario: An endpoint that says it is leaving gets nothing more
    Then in each kind of answer that says so, the endpoint gets no further request
    And none after a later registration, a renewal or the word of another VM
    And its next incarnation gets requests again

  Scenario: An endpoint that asks for a pause gets nothing for so long
    Then after each 503 with a Retry-After the endpoint gets nothing in that time
    And it gets requests again afterwards
    And nonsense asks for no pause and a long pause ends

  Scenario: All endpoints ask for a pause
    Given an entry VM with endpoints that behave as: pausing-2,pausing-1
    When a caller sends POST /once/x with body "hello"
    And a caller sends POST /once/x with body "again"
    Then the caller is told to come back in 0.5 to 1 s
    And the endpoints were sent 2 requests

  Scenario: A VM that hears of it from another VM heeds it
    Given VMs that replicate endpoints
    Then an entry VM learns from the renewals of a disk VM that an endpoint is leaving
    And an entry VM that fetches the endpoints learns it at once
