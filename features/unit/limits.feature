Feature: Fleet-wide limits
  Guards against a customer that gets more than burst + rate x window after a
  crash, restart, partition, freeze, clock drift or a changed cap or share
  table, and against refusals within the rate when traffic moves between VMs.

  Scenario Outline: The limits hold in a faulty fleet
    When the limits run in a faulty fleet with seed <seed>
    Then the limits granted requests and no window is above its bound

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: The boundary run of the limits passes without a fault
    Then the boundary run of the limits with seed 1 stays within the bound

  Scenario Outline: A deliberate fault in the limits is caught
    Then the limits fault "<fault>" is caught

    Examples:
      | fault                              |
      | bucket refilled at restart         |
      | lender ignores outstanding chunks  |
      | borrower ignores expiry            |
      | new share used before confirmation |

  Scenario: Traffic that moves between VMs is not refused, burst of 10 s
    When the limits carry moving traffic with a burst of 10 s of the rate
    Then the limits refused less than 0.1 percent wrongfully
    And the limits refused less than the static split

  Scenario: Traffic that moves between VMs is not refused, burst of 4 s
    When the limits carry moving traffic with a burst of 4 s of the rate
    Then the limits refused less than 0.1 percent wrongfully

  Scenario: Retry-After is accurate
    When a limits VM refuses a request for lack of tokens
    Then the limits grant it after Retry-After and not much earlier

  Scenario: A request above the whole burst is refused permanently
    Then the limits refuse a request above the burst as request_above_burst

  Scenario: The shares of all VMs add up to at most the whole
    Then the limits shares of any fleet add up to at most rate and burst
