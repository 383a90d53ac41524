Feature: Bookings through the gateway
  Guards against a booking that runs twice or whose refusal is not true.

  Scenario: A resend gets the first answer
    Given a gateway VM with endpoints "sound"
    Then a booking that is sent twice to the gateway runs once
    And the gateway refuses another body under the same key with 422

  Scenario: A resend while the first runs is told so
    Given a gateway VM with endpoints "late"
    Then the gateway answers a resend of a running booking with 409

  Scenario: A booking outlives its caller
    Given a gateway VM with endpoints "late"
    Then a booking whose caller leaves the gateway is finished and kept

  Scenario Outline: The claim follows from what the endpoint did
    Given a gateway VM with endpoints "<endpoint>, sound"
    Then a booking at the gateway gets <status> and leaves the claim <claim>

    Examples:
      | endpoint | status | claim    |
      | not_run  | 200    | finished |
      | hangup   | 502    | unknown  |

  Scenario: Without a quorum nothing runs
    Given a gateway VM with endpoints "sound"
    Then the gateway refuses a booking without a quorum as not run

  Scenario: A booking without a key is sent once
    Given a gateway VM with endpoints "hangup, sound"
    Then a booking without a key is sent once by the gateway
