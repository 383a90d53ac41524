Feature: VMs of a large fleet hear of each other through a relay
  Guards against a relay that sums wrongly over real datagrams, and against
  members that stay with a relay that is gone.

  Scenario: Loads and spending of one VM reach another one
    Given two entry VMs of a fleet of 20 and two disk VMs
    When the first has sent an endpoint 900 tokens and spent 2000 of 5000
    Then the second sees 900 unread tokens there within 3 s
    And the first has not heard of itself
    And the second refuses to spend 4000

  Scenario: Another relay takes over
    Given two entry VMs of a fleet of 20 and two disk VMs
    When the first disk VM is gone
    And the first has sent an endpoint 900 tokens and spent 2000 of 5000
    Then the second sees 900 unread tokens there within 3 s
    And both have left the first disk VM for the second
