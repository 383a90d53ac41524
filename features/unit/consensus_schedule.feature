Feature: Randomised schedules of the consensus core
  Guards against two leaders in a term, logs that differ, committed entries
  that get lost, stale reads, changes that run twice and groups that do not
  recover.  Each deliberate fault shows that a check can fail: a fault that no
  check caught would make this feature fail.

  Scenario: A fixed set of seeds breaks no check
    When 200 consensus schedules from seed 1 run with the fault "none"
    Then no consensus check is broken

  # Rejected heartbeats overruled the probe of a follower for ever in 100841 and
  # 102360; the latter still meets that fault since schedules have changed.
  # 203338 has a split vote right after the faults.
  Scenario Outline: Seeds that once failed
    When 1 consensus schedules from seed <seed> run with the fault "none"
    Then no consensus check is broken

    Examples:
      | seed   |
      | 100841 |
      | 102360 |
      | 203338 |

  Scenario: Equal seeds replay exactly
    When 6 consensus schedules from seed 1 run with the fault "none"
    Then the same consensus schedules give the same trace again

  Scenario Outline: A deliberate fault is caught
    When <seeds> consensus schedules from seed 1 run with the fault "<fault>"
    Then the consensus check "<check>" has caught it

    Examples:
      | fault                 | seeds | check                       |
      | ack-before-sync       | 80    | leader completeness         |
      | no-pre-vote           | 20    | undisturbed leader          |
      | vote-not-persisted    | 200   | election safety             |
      | stale-read            | 40    | linearisable reads          |
      | old-revision-accepted | 4     | configuration never reverts |
