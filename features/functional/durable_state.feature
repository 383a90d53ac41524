Feature: Durable state under failure
  Guards against accepted changes that are lost or reverted, against two
  leaders at once, and against VMs whose revision decreases.  Real daemons run
  behind fault proxies.

  Scenario: The leader is killed during a stream of changes
    Given the durable fleet runs
    When its leader is killed while operators make changes
    Then it has another leader
    And the killed durable VM starts again
    And every VM of it holds every accepted change
    And the revision of no VM of it decreased

  Scenario: The leader is partitioned silently
    Given the durable fleet runs
    When its leader is partitioned while operators make changes
    Then it has another leader
    And the partitioned durable VM accepts no change
    When the durable fleet is connected again
    Then every VM of it holds every accepted change
    And the change refused by the partitioned durable VM is in force nowhere
    And the revision of no VM of it decreased

  Scenario: The leader is frozen and resumes
    Given the durable fleet runs
    When its leader is frozen while operators make changes
    Then it has another leader
    And the frozen durable VM resumes
    And every VM of it holds every accepted change
    And the revision of no VM of it decreased

  Scenario: A second disk is lost right after a repair
    Given the durable fleet runs
    When a disk VM of it loses its data folder and is rebuilt
    And another disk VM of it is killed and loses its data folder
    Then the durable fleet accepts changes
    And the killed durable VM starts again
    And the killed durable VM votes again
    And every VM of it holds every accepted change
    And the revision of no VM of it decreased

  Scenario: A whole region restarts while it is partitioned
    Given the durable fleet runs
    When a region of it is partitioned and all its VMs are restarted
    Then the VMs of that region hold what was accepted before the partition
    When the durable fleet is connected again
    Then every VM of it holds every accepted change
    And the revision of no VM of it decreased
