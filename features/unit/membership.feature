Feature: Membership
  Guards against live VMs that are removed under packet loss, dead VMs that are
  not removed, a stale view after a freeze, and a cost per VM that grows with
  the fleet.

  Scenario Outline: Live VMs stay and a killed one goes
    When membership runs for <seconds> s on 9 VMs with loss <loss> and seed <seed>
    Then membership removed no live VM and dropped the killed one within 2 s

    Examples:
      | loss | seed | seconds |
      | 0.0  | 1    | 10      |
      | 0.1  | 1    | 60      |
      | 0.1  | 2    | 30      |

  Scenario: The cost of membership for each VM stays within its budget
    Then membership costs each of 9, 50 and 350 VMs at most 8000 bytes/s

  Scenario: A withdrawal reaches all VMs in spite of loss
    Then membership carries a tombstone to all VMs under loss

  Scenario: A VM that was frozen distrusts its view
    Then membership of a frozen VM is stale and has a higher incarnation

  Scenario: A partition heals
    Then membership splits at a partition and joins after it heals

  Scenario: VMs that stop are told apart from dead ones for a time
    Then each VM names one that announced its stop as stopping for 3 s

  Scenario: The list of live VMs follows each change
    Then membership lists the live VMs at each moment of a partition, a leave and its end
