Feature: The replicated state in real processes
  Guards against changes that are lost or executed twice when VMs are killed or
  disks are lost, damaged or full, and against a minority that accepts changes.

  Scenario: Changes, killed VMs and a lost disk
    Given a consensus fleet of three regions
    When 5 customers are created through consensus VM "a2"
    Then consensus revision 5 is in force on every running VM
    When the consensus leader is killed
    And 5 customers are created through consensus VM "b2"
    Then consensus revision 10 is in force on every running VM
    When the killed consensus VM returns
    Then a resend of request "create-a2-1" to consensus VM "c2" gives revision 2
    When all consensus VMs are killed and started again
    Then consensus revision 10 is in force on every running VM
    When consensus VM "b1" loses its data folder while it is down
    Then consensus VM "b1" is a voter again
    And the log of consensus VM "b1" contains "The folder is empty although the group exists."
    When the log of consensus VM "c1" is damaged while it is down
    Then consensus VM "c1" is a voter again
    And the log of consensus VM "c1" contains "is damaged at byte"
    When 2 customers are created through consensus VM "c2"
    Then consensus revision 12 is in force on every running VM

  Scenario: Bookings are claimed once; a minority refuses changes but still serves
    Given a consensus fleet of three regions
    When consensus VM "a2" claims booking "seat" with body "one"
    Then the booking claim is granted
    When consensus VM "b2" claims booking "seat" with body "one"
    Then the booking claim is "running" and not granted
    When consensus VM "c2" claims booking "seat" with body "two"
    Then the booking claim is refused with "idempotency_mismatch"
    When consensus VM "a2" finishes booking "seat"
    And consensus VM "c2" claims booking "seat" with body "one"
    Then the booking claim is "finished" and not granted
    When 3 customers are created through consensus VM "a2"
    And key "withdrawn-key" is withdrawn ahead of the log on consensus VM "b1"
    Then key "withdrawn-key" is withdrawn on consensus VMs "b1 b2"
    And consensus revision 3 is in force on every running VM
    When the consensus VMs "a1 c1 a2 c2" are killed
    Then consensus VM "b2" refuses a change as not accepted
    When consensus VM "b2" claims booking "other" with body "one"
    Then the booking claim is refused with "claim_unavailable"
    When the consensus VMs "b2" are killed
    And the consensus VMs "b2" are started
    Then consensus revision 3 is in force on every running VM
    And key "withdrawn-key" is withdrawn on consensus VMs "b2"

  Scenario: A full disk loses nothing
    Given a consensus fleet of three regions
    When 3 customers are created through consensus VM "a2"
    And the disk of the consensus leader is full
    And 3 customers are created through consensus VM "b2"
    Then consensus revision 6 is in force on every running VM
    When that consensus disk has free space again
    And all consensus VMs are killed and started again
    Then consensus revision 6 is in force on every running VM
