Feature: Registry and router of a daemon
  Guards against VMs of a region that know different endpoints, a VM that
  cannot serve without its peers, endpoint slots that are never released, and
  summaries that do not reach other regions.

  Scenario: VMs of a region exchange endpoints over real connections
    Given registry VMs "a1 a2" of region "a" and "b1" of region "b"
    When registry endpoint "e" announces itself to "a1" and beats
    Then registry VM "a2" serves with endpoint "e"
    And registry VM "b1" knows no endpoint of its own
    And registry VM "b1" sends a request to region "a"
    And registry VM "b1" refuses a forwarded request as not run
    When registry endpoint "e" says to "a2" that it leaves
    Then registry VM "a1" refuses a request as not run

  Scenario: A VM that starts later learns the endpoints of its region
    Given registry VMs "a1" of region "a" and "b1" of region "b"
    When registry endpoint "e" announces itself to "a1" and beats
    And registry VM "a2" of region "a" starts
    Then registry VM "a2" serves with endpoint "e"

  Scenario: A VM works without its peers and releases room
    Given registry VMs "a1" of region "a" and "b1" of region "b"
    And registry VM "a9" of region "a" is listed but does not run
    When registry endpoint "e" announces itself to "a1" and beats
    Then registry VM "a1" serves with endpoint "e"
    And registry VM "a1" queues requests beyond the room and places them in turn
    And registry VM "a1" forgets a waiting request whose caller has gone
    And registry VM "a1" explains a request in plain sentences
    And registry VM "a1" retries an unsent attempt but not a booking that was sent

  Scenario: Wrong announcements are refused
    Given registry VMs "a1" of region "a" and "b1" of region "b"
    Then registry VM "a1" refuses an endpoint of another region
    And registry VM "a1" refuses an endpoint of an older incarnation
    And registry VM "a1" asks an unknown endpoint to announce itself
