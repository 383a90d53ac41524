Feature: The replicated state machine
  Guards against changes that are applied twice, gaps in revisions, leases
  held by two VMs, fencing tokens that decrease, claimed calls that run twice
  and replicas that diverge after a snapshot.

  Scenario: Random commands keep every invariant of the fleet state
    When 300 random fleet commands from seed 11 are applied
    Then fleet revisions grow by one for each accepted change only
    And a resent fleet change gets its first answer and changes nothing
    And another fleet change under a used request id is refused
    And fencing tokens of the fleet state only increase
    And a machine restored from a fleet snapshot behaves identically

  Scenario: A fleet change with an old expected revision is refused
    When a fleet change expects revision 0 twice
    Then the second fleet change is a conflict at revision 1

  Scenario: A fleet lease is regranted only after it has ended by any clock
    When VM "one" takes a fleet lease of 1000 ms at 0 ms
    Then VM "two" does not get the fleet lease at 1059 ms
    And VM "two" gets the fleet lease with a higher token at 1060 ms
    And VM "one" does not get the fleet lease at 1070 ms

  Scenario: A fleet claim follows its state chart
    When a fleet claim begins at 0 ms
    Then the fleet claim of another request is "running" and not granted
    And the resent fleet claim is granted again
    And the fleet claim with another body is a mismatch
    When the owner of the fleet claim is lost
    Then the fleet claim of another request is "unknown" and not granted
    When the fleet claim is finished late
    Then the fleet claim of another request is "finished" and not granted
    And the fleet claim is kept for 24 h

  Scenario: A fleet claim of a call that never ran is free again
    When a fleet claim begins at 0 ms
    And the fleet claim is finished as not run
    Then a new fleet claim is granted
