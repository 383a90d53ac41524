Feature: Files of a replica
  Guards against lost or spurious records after a crash at any byte, and
  against a damaged log that is mistaken for a truncated one.

  Scenario: A log that is truncated at any byte keeps exactly its complete frames
    Given replica files with 30 random syncs from seed 7
    When the replica log is truncated at every frame boundary and within every frame
    Then each truncated replica log holds what was synced before that point

  Scenario: Damage before the last frame is reported
    Given replica files with 30 random syncs from seed 8
    When any bit before the last frame of the replica log is flipped
    Then reading the replica log reports damage

  Scenario: A new snapshot replaces the old log and snapshot
    Given replica files with 30 random syncs from seed 9
    When the replica files take a snapshot at their commit index
    Then the replica files hold the snapshot and the entries after it

  Scenario: A failed write does not reappear after recovery
    Given replica files with 5 random syncs from seed 10
    When the replica files cannot grow and another sync is written
    Then the sync of the replica files fails and leaves the log as it was
