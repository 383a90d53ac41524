Feature: Many large configurations in real processes
  Guards against histories that are bounded in number and not in bytes: a VM
  that exceeds its memory after some hundred changes, and a disk VM that can
  not catch up after its disk was lost.

  # 200 MB is the memory of the smallest VM; the changes are 192 MB in all.
  Scenario: Memory stays level during many large configurations
    Given a consensus fleet of three regions
    When 320 deployments of 600000 bytes are installed through consensus VM "a2"
    Then no consensus VM uses more than 200 MB of memory
    And consensus revision 320 is in force on every running VM
    When all consensus VMs are killed and started again
    Then consensus revision 320 is in force on every running VM
    And no consensus VM uses more than 200 MB of memory

  # All changes together exceed what one message may hold.
  Scenario: A lost disk is filled again after many large configurations
    Given a consensus fleet of three regions
    When 130 deployments of 600000 bytes are installed through consensus VM "a2"
    And consensus VM "b1" loses its data folder while it is down
    Then consensus VM "b1" is a voter again
    When the consensus VMs "c1" are killed
    And 1 customers are created through consensus VM "b2"
    Then consensus revision 131 is in force on every running VM
