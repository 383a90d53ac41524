Feature: Routing decisions in random runs
  Guards against requests that violate their residency, cross regions twice,
  reach an endpoint that has left, are retried although they may have been
  executed, or run past their deadline; and against checks that cannot fail.

  Scenario Outline: No invariant is violated in random runs
    When routing runs <count> random runs from seed <seed>
    Then no routing invariant is broken
    And the routing runs placed, forwarded, refused and retried requests

    Examples:
      | seed | count |
      | 1    | 5     |
      | 1000 | 5     |

  Scenario Outline: The routing check "<check>" detects the fault "<fault>"
    When routing runs 3 random runs from seed 1 with the fault "<fault>"
    Then the routing check "<check>" is broken

    Examples:
      | fault               | check     |
      | second hop          | hops      |
      | booking retried     | retry     |
      | residency at entry  | residency |
      | cache gap believed  | cache     |
      | lease ignored       | lease     |
      | deadline restarted  | deadline  |
      | spill not damped    | spill     |

  Scenario: A class with an away share of zero never leaves its region
    When routing sends 200 requests of a class that may not leave
    Then routing kept all of them at home

  Scenario: The away share of a target is kept under pressure
    When routing sends 400 requests with an away share of 0.25 under pressure
    Then routing moved at least 50 and at most 108 of them

  Scenario: A failing endpoint is ejected, returns slowly; panic ends ejection
    Then routing ejects one failing endpoint of three
    And routing ignores ejection when most endpoints fail

  Scenario: The comparison of policies is deterministic for a seed
    Then the routing comparison gives equal figures twice and spills a part

  Scenario: Requests whose end is not reported do not make a region look full
    When routing forwards 30 requests whose end is never reported
    Then routing still forwards work to that region two mean times later
