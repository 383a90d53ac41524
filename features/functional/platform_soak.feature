Feature: A randomized soak of the platform's programs
  Guards against violated guarantees to callers or endpoints while processes,
  connections, endpoints and configurations are disturbed by seeded faults.
  Each seed that ever failed stays here.

  Scenario Outline: Seed <seed> has no violation: <cause>
    When the platform soak runs for <seconds> s with seed <seed>
    Then the soak reports no violation

    Examples:
      | seed | seconds | cause                                              |
      | 1    | 12      | a reload during the start ended a process          |
      | 123  | 10      | the deadline check missed a link fault that healed |
      | 2732 | 20      | requests that waited on a link counted as late     |
      | 2703 | 20      | an endpoint was started by two faults              |
