Feature: Odd messages at every boundary
  Guards against messages of endpoints, operators, callers, other VMs and files
  that are accepted but can't be stored, sent or used: one of them ends each
  process that reads it, again after each restart.

  Scenario: Valid messages are accepted and each spoiled field is borne
    Given every boundary of the programs
    Then valid messages are accepted
    And a message with any one field spoiled is refused or can be used

  Scenario: Random messages are borne
    Given every boundary of the programs
    Then 300 random messages with seed 1 are refused or can be used at each

  Scenario: Messages that once made a boundary fail
    Given every boundary of the programs
    Then those that were kept are borne

  Scenario Outline: Without the range of <field> the search finds a failure
    Given registrations are decoded without the range of "<field>"
    Then a registration with any one field spoiled makes the VM fail

    Examples:
      | field        |
      | service      |
      | address      |
      | sequence     |
      | born         |
      | slots        |
      | cold_left_ms |
      | leaves_ms    |

  Scenario Outline: Without the range of <field> in <messages> the search finds a failure
    Given <messages> whose "<part>" is decoded without the range of "<field>"
    Then one with any field spoiled makes the VM fail

    Examples:
      | messages       | part     | field   |
      | heartbeat      | load     | running |
      | heartbeat      | load     | queued  |
      | token-return   | items    | left    |

  Scenario: An odd heartbeat among those that another VM hands over costs only itself
    Given heartbeats of 5 endpoints of which each in turn is spoiled in each way
    Then a VM that is handed them knows the load of the other 4

  Scenario: The reason names the field
    Then each registration with one number too large names its field

  Scenario: An odd record among sound ones costs only itself
    Given 5 stored endpoints of which each in turn is spoiled in each way
    Then a disk VM that starts knows the other 4

  Scenario: Datagrams that can't be used don't keep a sound one out
    Given a socket that receives load reports
    When odd datagrams of each kind arrive before a sound one
    Then the sound one is applied

  Scenario: Entries of an unknown service don't displace sound ones
    Given 20 endpoints of a known service
    When 12000 later entries of unknown services name their addresses
    Then the table holds at most 10000 entries
    And the sound ones are all known and their heartbeats are taken
    And an endpoint of a known service takes over the address of one that ended

  Scenario Outline: Many entries of unknown services don't slow down requests: <what>
    Given 20 endpoints of a known service
    When 5000 later entries of unknown services are added
    Then they add at most a tenth to the steps that it takes to <what>

    Examples:
      | what                     |
      | choose an endpoint       |
      | publish the region slots |
