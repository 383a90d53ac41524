Feature: Files of a replica
  Guards against lost or invented records after a crash at any byte, and
  against a damaged log that is taken for a short one.

  Scenario: A log that is cut at any byte holds exactly its whole frames
    Given replica files with 30 random syncs from seed 7
    When the replica log is cut at every frame border and within every frame
    Then each cut replica log holds what was synced before the cut

  Scenario: Damage before the last frame is reported
    Given replica files with 30 random syncs from seed 8
    When any byte before the last frame of the replica log is flipped
    Then reading the replica log reports damage

  Scenario: A new snapshot replaces log and snapshot
    Given replica files with 30 random syncs from seed 9
    When the replica files take a snapshot at their commit index
    Then the replica files hold the snapshot and the entries after it

  Scenario: A failed write is not found again
    Given replica files with 5 random syncs from seed 10
    When the replica files may not grow and take another sync
    Then the sync of the replica files fails and leaves the log as it was
