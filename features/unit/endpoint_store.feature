Feature: Endpoints survive a restart of all VMs
  Guards against a fleet that restarts after a power failure and refuses
  requests until each endpoint has sent its next heartbeat.

  Scenario: Endpoints are restored after a short stop
    Given a disk VM that has stored 3 endpoints
    When it starts again after 900 ms
    Then it knows 3 endpoints
    And an endpoint without a heartbeat for 5 s after the start is dropped
    And an endpoint that sends a heartbeat is kept

  Scenario: Endpoints stored long ago are not used
    Given a disk VM that has stored 3 endpoints
    When it starts again after 40000 ms
    Then it knows 0 endpoints

  Scenario: Endpoints stored before the clock was set back are not used
    Given a disk VM that has stored 3 endpoints
    When it starts again after -500 ms
    Then it knows 0 endpoints

  Scenario: A damaged file is ignored
    Given a disk VM that has stored 3 endpoints
    When the stored endpoints are damaged
    And it starts again after 900 ms
    Then it knows 0 endpoints
