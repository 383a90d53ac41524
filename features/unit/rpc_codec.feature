Feature: Encoding of messages between VMs
  Guards against full configurations that saturate a low-bandwidth link between
  regions, and against compressed messages that crash a VM or exhaust its memory.

  Scenario: A large deployment is compressed
    Then a deployment of 400 routes is encoded to under a fifth of its size
    And it comes back unchanged

  Scenario: Invalid messages are refused
    Then truncated, corrupted and oversized messages raise a decode error
