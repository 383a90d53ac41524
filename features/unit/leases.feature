Feature: Leases
  Guards against two holders of one lease at the same time, through clock
  drift, lost and late answers, freezes and a restarted granter.

  Scenario Outline: A lease never has two holders
    Then the lease run with seed <seed> never has two holders

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A granter that ignores the drift bound is caught
    Then the lease run finds two holders when the drift bound is ignored

  Scenario: A holder that wakes from a freeze does not act
    Then a lease holder that was frozen past its lifetime has no token

  Scenario: A new owner waits for endpoints that ignore fencing tokens
    Then a lease takeover waits only for endpoints that ignore tokens
