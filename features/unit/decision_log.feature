Feature: Log of decisions
  Guards against a VM that blocks on the reader of its log, and against lines
  that are dropped without being counted.

  Scenario: A reader that stands still costs lines, not time
    Given a decision log whose reader stands still
    When 20000 long lines are written to it
    Then none of the writes waits and the dropped lines are counted

  Scenario: Long lines that nobody reads take a bounded memory
    Given a decision log whose reader stands still
    When 200 lines of 100000 bytes are written to it
    Then it holds at most 2500000 bytes and the dropped lines are counted

  Scenario: Many lines of one event are counted instead of written
    Given a decision log at 1000 ms
    When 100 events are recorded, and one more at 2100 ms
    Then 41 lines are written and the last one says that 60 were left out
