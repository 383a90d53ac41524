Feature: A randomized soak of the platform's programs
  Guards against answers that break a promise to callers or endpoints while
  processes, connections, endpoints and configurations are disturbed by seed.
  Each seed that ever failed stays here.

  Scenario Outline: Seed <seed> breaks no promise: <cause>
    When the platform soak runs for <seconds> s with seed <seed>
    Then no promise is broken

    Examples:
      | seed | seconds | cause                                    |
      | 1    | 12      | a reload during the start ended a process |
      | 123  | 10      | the check took a link that healed for calm |
