Feature: Capacity plans
  Guards against plans that drain the last engine of a model, oscillate with
  short peaks, change many engines at once, or overload the weight store.

  Scenario: An engine is drained and reassigned after lasting demand
    When capacity sees demand for a second model for 59 s
    Then capacity gives no order
    When capacity sees demand for a second model for 61 s
    Then capacity drains exactly one engine with the fencing token 7
    And capacity loads the second model only once that engine is empty

  Scenario: The weight store limits the rate of loads
    Then capacity starts a second load only when the first has left the store

  Scenario Outline: Random plans keep every needed model served
    When capacity runs 300 random plans from seed <seed>
    Then capacity never left a needed model without an engine
    And capacity changed engines at least once

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The capacity check detects a planner that drains any engine
    When capacity runs 300 random plans that take any engine from seed 1
    Then capacity left a needed model without an engine
