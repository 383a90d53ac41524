Feature: Operator and endpoint listeners of the gateway
  Guards against changes without a token, wrong status codes of outcomes,
  withdrawals that wait for the replicated log, and endpoints without a valid
  key.

  Scenario: Operators change and read the configuration
    Given a gateway VM with endpoints "sound"
    Then the gateway answers operators only with a token
    And the gateway maps each outcome of a change to its status
    And a withdrawal at the gateway reaches the tombstone callback
    And the gateway waits until a change is in force on all live VMs
    And the gateway explains a request to operators

  Scenario: Endpoints need a key of their service
    Given a gateway VM with endpoints "sound"
    Then the gateway takes announcements only with the key of the service

  Scenario: Entry VMs are sorted by distance
    Given a gateway VM with endpoints "sound"
    Then the gateway lists entry VMs with its own region first
