Feature: Leases
  Guards against two concurrent holders of one lease, caused by clock drift,
  lost or late replies, freezes or a restart of the granter.

  Scenario Outline: A lease never has two holders
    Then the lease run with seed <seed> never has two holders

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: The lease check detects a granter that ignores the drift bound
    Then the lease run finds two holders when the drift bound is ignored

  Scenario: A holder that resumes after a freeze does not act
    Then a lease holder that was frozen past its lifetime has no token

  Scenario: A new owner waits for endpoints that ignore fencing tokens
    Then a lease takeover waits only for endpoints that ignore tokens
