Feature: Metering of customers over all VMs
  Guards against a hot customer that gets more than its cap and the stated
  slack while VMs restart, freeze and lose each other, and against refusals
  within the rate while traffic moves between VMs.

  Scenario Outline: A hot customer stays within cap and slack: <trouble>
    Given 6 metering VMs and a customer of <rate> tokens/s
    When it asks 5 times its rate for 40 s, seed <seed>, with <trouble>
    Then no window of 8 s holds more than its cap and 140000 tokens

    Examples:
      | trouble           | seed | rate   |
      | nothing           | 1    | 100000 |
      | lost datagrams    | 2    | 100000 |
      | a cut in halves   | 3    | 100000 |
      | a cut in halves   | 3    | 340000 |
      | a VM that freezes | 4    | 340000 |
      | all VMs restart   | 5    | 340000 |
      | single restarts   | 6    | 340000 |

  Scenario: A hot customer fills all engines while regions lose each other
    Given 6 metering VMs and a customer of 220000 tokens/s
    When it asks 3.2 times its rate for 40 s, seed 10, with a cut in three
    Then no window of 8 s holds more than its cap and 140000 tokens

  Scenario: A customer within its rate is served while its traffic moves
    Given 6 metering VMs and a customer of 100000 tokens/s
    When it asks 0.7 times its rate for 40 s, seed 7, at a VM that changes
    Then at most 1 in 100 of its requests are refused

  Scenario: Many VMs that tell rarely do not take each other for silent
    Given 40 metering VMs and a customer of 1000000 tokens/s
    When they tell every 800 ms and it asks 0.7 times its rate for 20 s, seed 9
    Then at most 1 in 100 of its requests are refused

  Scenario: A customer is served soon after all VMs restart
    Given 6 metering VMs and a customer of 100000 tokens/s
    When it asks 0.5 times its rate for 40 s, seed 8, with all VMs restart
    Then at most 3 in 100 of its requests are refused

  Scenario: A customer that only another VM knows does no harm
    Given 2 metering VMs and a customer of 100000 tokens/s
    When the second tells of a customer unknown to the first and falls silent
    Then the first still serves the customer that it knows
