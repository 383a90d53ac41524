Feature: Non-repeatable calls through the gateway
  Guards against calls that are executed twice and against refusals that
  misreport whether the call was executed.

  Scenario: A resend gets the response of the first call
    Given a gateway VM with endpoints "sound"
    Then a non-repeatable call sent twice to the gateway is executed once
    And the gateway refuses another body with the same key with 422

  Scenario: A resend while the first call runs is refused
    Given a gateway VM with endpoints "late"
    Then the gateway answers a resend of a running call with 409

  Scenario: A non-repeatable call completes after its caller disconnects
    Given a gateway VM with endpoints "late"
    Then a call whose caller disconnects from the gateway is finished and stored

  Scenario Outline: The state of the claim reflects the outcome at the endpoint
    Given a gateway VM with endpoints "<endpoint>, sound"
    Then a call at the gateway gets <status> and leaves the claim <claim>

    Examples:
      | endpoint | status | claim    |
      | not_run  | 200    | finished |
      | hangup   | 502    | unknown  |

  Scenario: Without a quorum nothing is executed
    Given a gateway VM with endpoints "sound"
    Then the gateway refuses a call without a quorum as not executed

  Scenario: A non-repeatable call without an idempotency key is sent once
    Given a gateway VM with endpoints "hangup, sound"
    Then a call without a key is sent once by the gateway
