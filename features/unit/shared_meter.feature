Feature: Metering of customers over all VMs
  Guards against a hot customer that gets more than its cap and the stated
  slack while VMs restart, freeze and lose contact with each other, and
  against refusals within the rate while traffic moves between VMs.

  Scenario Outline: A hot customer stays within cap and slack: <fault>
    Given 6 metering VMs and a customer of <rate> tokens/s
    When it requests 5 times its rate for 40 s, seed <seed>, with <fault>
    Then no window of 8 s grants more than its cap plus 140000 tokens

    Examples:
      | fault              | seed | rate   |
      | nothing            | 1    | 100000 |
      | lost datagrams     | 2    | 100000 |
      | a partition in two | 3    | 100000 |
      | a partition in two | 3    | 340000 |
      | a VM that freezes  | 4    | 340000 |
      | all VMs restart    | 5    | 340000 |
      | single restarts    | 6    | 340000 |

  Scenario: A hot customer fills all engines while regions lose contact
    Given 6 metering VMs and a customer of 220000 tokens/s
    When it requests 3.2 times its rate for 40 s, seed 10, with a partition in three
    Then no window of 8 s grants more than its cap plus 140000 tokens

  Scenario: A customer within its rate is served while its traffic moves
    Given 6 metering VMs and a customer of 100000 tokens/s
    When it requests 0.7 times its rate for 40 s, seed 7, at a VM that changes
    Then at most 1 in 100 of its requests are refused

  Scenario: Many VMs that report rarely do not count as silent
    Given 40 metering VMs and a customer of 1000000 tokens/s
    When they report every 800 ms and it requests 0.7 times its rate for 20 s, seed 9
    Then at most 1 in 100 of its requests are refused

  Scenario: A customer is served soon after all VMs restart
    Given 6 metering VMs and a customer of 100000 tokens/s
    When it requests 0.5 times its rate for 40 s, seed 8, with all VMs restart
    Then at most 3 in 100 of its requests are refused

  Scenario: A report on a customer that only the sender knows is harmless
    Given 2 metering VMs and a customer of 100000 tokens/s
    When the second reports a customer unknown to the first and falls silent
    Then the first still serves the customer that it knows
