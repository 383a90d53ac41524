Feature: Encoding of messages between VMs
  Guards against whole configurations that fill a narrow link between regions,
  and against compressed messages that break or exhaust a VM.

  Scenario: A large deployment takes a fraction of its size
    Then a deployment of 400 routes is encoded to under a fifth of its size
    And it comes back unchanged

  Scenario: Hostile messages are refused as unreadable
    Then cut, spoiled and endless messages raise a decode error
