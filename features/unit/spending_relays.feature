Feature: Relays sum the spending of many VMs
  Guards against a hot customer that gets more than its cap and the stated
  slack, and against refusals within the rate, when so many VMs serve it that
  they cannot all report to each other.

  Scenario Outline: A hot customer stays within cap and slack at 40 VMs: <fault>
    Given 40 relayed VMs and a customer of <rate> tokens/s
    When it sends 4 times its rate for 26 s, seed <seed>, with <fault>
    Then no window of 8 s exceeds its cap by 140000 tokens

    Examples:
      | fault                | seed | rate   |
      | nothing              | 1    | 340000 |
      | lost datagrams       | 2    | 340000 |
      | a partitioned region | 3    | 340000 |
      | a relay that stops   | 4    | 340000 |
      | all disk VMs down    | 5    | 340000 |

  Scenario Outline: A customer within its rate is served at 80 VMs: <fault>
    Given 80 relayed VMs and a customer of 600000 tokens/s
    When it sends 0.7 times its rate for 20 s, seed <seed>, with <fault>
    Then at most 1 in 100 of them are refused
    And a VM sends and receives at most 50 messages a second

    Examples:
      | fault              | seed |
      | nothing            | 6    |
      | lost datagrams     | 7    |
      | a relay that stops | 8    |
