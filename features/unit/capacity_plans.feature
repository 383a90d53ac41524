Feature: Capacity plans
  Guards against plans that take the last engine of a model, swing with short
  peaks, change many engines at once, or overrun the weight store.

  Scenario: An engine changes after a lasting demand, drained first
    When capacity sees demand for a second model for 59 s
    Then capacity gives no order
    When capacity sees demand for a second model for 61 s
    Then capacity drains exactly one engine with the fencing token 7
    And capacity loads the second model only once that engine is empty

  Scenario: Loads are paced by the weight store
    Then capacity starts a second load only when the first has left the store

  Scenario Outline: Random plans keep every needed model served
    When capacity runs 300 random plans from seed <seed>
    Then capacity never left a needed model without an engine
    And capacity changed engines at least once

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The capacity check catches a planner that takes any engine
    When capacity runs 300 random plans that take any engine from seed 1
    Then capacity left a needed model without an engine
