Feature: Placement at the worst load
  Guards against engines that read so many prompts that long answers miss
  their deadline or pause too long, against sessions that are read again at every engine, and
  against less urgent work that takes the place of urgent work.

  Scenario Outline: A region's peak of <factor> times the load
    Given 3 emulated engines and a peak of <factor> times the load, seed <seed>
    Then the product earns at least <gain> in 100 more than accepting all
    And no accepted draft is cut by its deadline more often than 2 in 100
    And questions are served at least as often as drafts

    Examples:
      | factor | seed | gain |
      | 1.6    | 1    | 5    |
      | 1.6    | 2    | 5    |
      | 2.3    | 3    | 10   |

  Scenario: A usual load is served whole
    Given 3 emulated engines and a peak of 0.8 times the load, seed 4
    Then at least 97 in 100 of each kind are served on time

  Scenario: Sessions stay with the engine that has read them
    Given 3 emulated engines and a peak of 1.2 times the load, seed 5
    Then the product reads fewer prompt tokens a draft than accepting all

  Scenario Outline: Prompts do not hold up streams of large events at <factor> times the load
    Given 3 engines with 32 slots and large events at <factor> times the load, seed <seed>
    Then at most 5 in 100 of the accepted streams pause too long
    And the product earns at least <gain> in 100 more than accepting all

    Examples:
      | factor | seed | gain |
      | 0.8    | 21   | 5    |
      | 1.0    | 22   | 5    |
      | 1.3    | 23   | 5    |

  Scenario Outline: Very long prompts are not shut out by the pause of streams
    Given an engine with a running stream that was just sent <recent> tokens
    Then <verdict> of 50000 tokens

    Examples:
      | recent | verdict             |
      | 0      | it takes a prompt   |
      | 12000  | it takes a prompt   |
      | 20000  | it takes no prompt  |

  Scenario: Long prompts share a few engines and leave the others alone
    Given 8 engines with running streams and a short pause of streams
    Then a prompt of 30000 tokens goes to one of 2 engines only
    And a prompt of 9000 tokens goes to one of the 6 others
    When the 6 others are full
    Then a prompt of 9000 tokens goes to one of the 2 engines
