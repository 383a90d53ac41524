Feature: A disk VM that is replaced by another one
  Guards against a dead voter that stays in the group after its successor had
  its time to catch up: the majority is then too large for the loss of two
  more disks, and what was acknowledged can never be read again.

  Scenario Outline: Two disks are lost after <replaced> disk VMs were replaced
    Given a platform fleet of 5 disk VMs and 1 entry VMs, ports seed <seed>
    When an operator sends configuration 7 to the first disk VM
    And <replaced> disk VMs are replaced, <which>
    And the successors have had 4 s to catch up
    And an operator sends configuration 8 to the third disk VM
    And two other disk VMs lose their disks for 1 s
    Then every disk VM reads configuration 8 back as it was sent

    Examples:
      | replaced | which                | seed |
      | 1        | the leader not       | 31   |
      | 1        | the leader among them | 32  |
      | 2        | the leader not       | 33   |

  Scenario: A disk VM that was taken for dead is a voter again
    Given a platform fleet of 5 disk VMs and 1 entry VMs, ports seed 34
    When an operator sends configuration 7 to the first disk VM
    And a disk VM is suspended while another one is added
    Then that disk VM is no voter
    When it goes on
    Then that disk VM is a voter again
