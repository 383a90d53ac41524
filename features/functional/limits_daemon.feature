Feature: Limits and membership over the network
  Guards against VMs that do not discover each other over real connections,
  do not lend tokens, keep a dead or leaving VM as live, or lose a withdrawal.

  Scenario: VMs lend to each other and notice who stops
    Given limits tasks of 6 VMs in three regions on free ports
    Then the limits tasks find each other and agree on one share table
    And a limits task reserves more than its own share by borrowing
    And a withdrawal reaches all limits tasks
    And a killed limits VM leaves the live VMs of all others
    And a leaving limits VM leaves the live VMs of all others
