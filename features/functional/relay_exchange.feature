Feature: VMs of a large fleet exchange state through a relay
  Guards against wrong sums of a relay over real datagrams, and against clients
  that keep using a relay that has stopped.

  Scenario: Loads and spending of one VM reach another one
    Given two entry VMs of a fleet of 20 and two disk VMs
    When the first has sent an endpoint 900 tokens and spent 2000 of 5000
    Then the second sees 900 pending tokens there within 3 s
    And the first does not count its own load twice
    And the second refuses to spend 4000

  Scenario: Another relay takes over
    Given two entry VMs of a fleet of 20 and two disk VMs
    When the first disk VM is gone
    And the first has sent an endpoint 900 tokens and spent 2000 of 5000
    Then the second sees 900 pending tokens there within 3 s
    And both have switched from the first disk VM to the second

  Scenario: Relays of two regions that can't reach each other
    Given two entry VMs of a fleet of 20 and two disk VMs
    When the disk VMs are in two regions and can't reach each other
    And the first has sent an endpoint 900 tokens and spent 2000 of 5000
    Then the second refuses to spend 4000 once relays have passed on totals
