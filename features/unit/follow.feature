Feature: Configuration replication
  Guards against several VMs of a region that all follow another region, against
  an older configuration that replaces a newer one, and against withdrawn keys
  that become valid again.

  Scenario Outline: Upstream of VM <own>
    Given the live VMs a1(disk) a2 a3 b1(disk) c2 c3 and of them <down> down
    Then VM "<own>" follows "<upstream>"

    Examples:
      | own | down     | upstream |
      | a3  | -        | a1       |
      | a3  | a1       | a2       |
      | a2  | a1       | b1       |
      | c2  | -        | a1       |
      | c3  | -        | c2       |
      | c3  | c2       | a1       |
      | c3  | c2,a1    | b1       |
      | c3  | c2,a1,b1 | a2       |

  Scenario: An older configuration is refused
    Given a followed copy with revisions up to 9
    Then the followed copy refuses every older revision
    And the followed copy takes a delta for the next revision only

  Scenario: A tombstone is kept when a configuration is replaced
    Given a followed copy with revisions up to 3
    When the followed copy learns that key "gone" is withdrawn
    Then a state in which key "gone" works does not undo the withdrawal

  Scenario: A VM changes its upstream if that is in a minority partition
    Given a VM that follows a1(disk) while a2(disk) and b1(disk) live
    When its upstream confirms revision 4 with an age of 5000 ms
    Then the VM follows another upstream within 1 s
