Feature: The soak's file of address overrides
  Guards against a process that exits because it reads a partly written file:
  the soak rewrites the file for the next process while the first one starts.

  Scenario: A reader that has started gets the complete old file
    Given a file of 40 address overrides
    And a reader that has read 100 bytes of it
    When the soak writes 60 overrides to it
    Then the reader has received 40 overrides
    And a new reader gets 60 overrides
