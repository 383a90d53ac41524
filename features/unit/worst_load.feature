Feature: Placement under peak load
  Guards against engines that prefill so many prompts that long answers miss
  their deadline or pause too long, against sessions whose prompts are
  prefilled again on every engine, and against less urgent requests that
  displace urgent ones.

  Scenario Outline: A region's peak of <factor> times the load
    Given 3 emulated engines and a peak of <factor> times the load, seed <seed>
    Then the product earns at least <gain> in 100 more than accepting all requests
    And at most 2 in 100 accepted drafts are cut off by their deadline
    And questions are served at least as often as drafts

    Examples:
      | factor | seed | gain |
      | 1.6    | 1    | 5    |
      | 1.6    | 2    | 5    |
      | 2.3    | 3    | 10   |

  Scenario: Normal load is served completely
    Given 3 emulated engines and a peak of 0.8 times the load, seed 4
    Then at least 97 in 100 of each kind are served on time

  Scenario: Sessions stay on the engine that has cached their prompts
    Given 3 emulated engines and a peak of 1.2 times the load, seed 5
    Then the product prefills fewer prompt tokens per draft than accepting all requests

  Scenario Outline: Prefill does not delay streams of large events at <factor> times the load
    Given 3 engines with 32 slots and large events at <factor> times the load, seed <seed>
    Then at most 5 in 100 of the accepted streams pause too long
    And the product earns at least <gain> in 100 more than accepting all requests

    Examples:
      | factor | seed | gain |
      | 0.8    | 21   | 5    |
      | 1.0    | 22   | 5    |
      | 1.3    | 23   | 5    |

  Scenario Outline: Very long prompts are not refused because of the pause target
    Given an engine with a running stream that was just sent <recent> tokens
    Then <verdict> of 50000 tokens

    Examples:
      | recent | verdict             |
      | 0      | it accepts a prompt |
      | 12000  | it accepts a prompt |
      | 20000  | it refuses a prompt |

  Scenario: Long prompts share a few engines and do not load the others
    Given 8 engines with running streams and a short pause target
    Then a prompt of 30000 tokens goes to one of 2 engines only
    And a prompt of 9000 tokens goes to one of the 6 others
    When the 6 others are full
    Then a prompt of 9000 tokens goes to one of the 2 engines
