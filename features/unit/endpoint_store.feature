Feature: Endpoints survive a restart of all VMs
  Guards against a fleet that has lost power, is back, and refuses requests
  until each endpoint has sent its next heartbeat.

  Scenario: Endpoints are known again after a short stop
    Given a disk VM that has stored 3 endpoints
    When it starts again after 900 ms
    Then it knows 3 endpoints
    And an endpoint that is silent for 5 s after the start is dropped
    And an endpoint that speaks again is kept

  Scenario: Endpoints stored long ago are not used
    Given a disk VM that has stored 3 endpoints
    When it starts again after 40000 ms
    Then it knows 0 endpoints

  Scenario: A clock that was set back makes the stored endpoints unusable
    Given a disk VM that has stored 3 endpoints
    When it starts again after -500 ms
    Then it knows 0 endpoints

  Scenario: A damaged file is no obstacle
    Given a disk VM that has stored 3 endpoints
    When the stored endpoints are damaged
    And it starts again after 900 ms
    Then it knows 0 endpoints
