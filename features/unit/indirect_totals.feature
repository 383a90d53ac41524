Feature: Relays that can't reach each other send their totals through other VMs
  Guards against a customer's rate that falls to the share of the VMs on one
  side of a cut between two relays, although the entry VMs reach both sides.

  Scenario Outline: The share stays whole during <cut>
    Given relays and entry VMs of three regions in virtual time
    When <cut> lasts from 3 s to 9 s, with <lost> in 100 passed datagrams lost, seed <seed>
    Then no entry VM's share falls below 1.0 after 1 s
    And totals are passed on during the cut only

    Examples:
      | cut                                | lost | seed |
      | a cut between two relays           | 0    | 1    |
      | a cut from one relay to another    | 0    | 2    |
      | a cut between two regions          | 0    | 3    |
      | a cut from one region to another   | 0    | 4    |

  Scenario Outline: A lost datagram that was passed on is made up for in <cut>
    Given relays and entry VMs of three regions in virtual time
    When <cut> lasts from 3 s to 9 s, with <lost> in 100 passed datagrams lost, seed <seed>
    Then every token spent is known to the entry VMs of all regions

    Examples:
      | cut                             | lost | seed |
      | a cut between two relays        | 10   | 5    |
      | a cut from one relay to another | 10   | 6    |

  Scenario: Relays that hear each other send nothing through other VMs
    Given relays and entry VMs of three regions in virtual time
    When nothing lasts from 3 s to 9 s, with 0 in 100 passed datagrams lost, seed 7
    Then no totals are passed on

  Scenario: A region without entry VMs is not waited for
    Given relays and entry VMs of three regions in virtual time
    When the stop of one region's entry VMs lasts from 3 s to 9 s, with 0 in 100 passed datagrams lost, seed 8
    Then totals are passed on for at most 1.5 s

  Scenario: A preferred relay that stops is not waited for once another reports
    Given relays and entry VMs of three regions in virtual time
    When the stop of a preferred relay lasts from 3 s to 9 s, with 0 in 100 passed datagrams lost, seed 9
    Then totals are passed on for at most 1.5 s
