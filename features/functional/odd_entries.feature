Feature: Odd entries among the registrations of a running fleet
  Guards against one odd entry of another writer that ends the VMs which read
  it, again after each restart, or that keeps them from following the others.

  Scenario: Odd registrations and configurations don't disturb a fleet
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 6
    When an operator sends configuration 7 to the second disk VM
    And an endpoint registers at the third disk VM
    Then a request through each entry VM is run by the endpoint
    When each odd registration is sent to a disk VM
    Then each one is answered with 400 and its field
    When each odd configuration is sent to a disk VM
    Then each one is answered with 400 and its field
    And no process has ended
    When the endpoint reports that it is draining
    Then within 3 s requests are refused and not run
    When the endpoint starts again
    And all VMs are restarted one after the other
    Then a request through each entry VM is run by the endpoint
    And no process has ended
