Feature: The soak's file of address overrides
  Guards against a program that reads the file while the soak writes it again
  for the next program, decodes half of it and exits.

  Scenario: A reader that has begun gets a whole file
    Given a file of 40 address overrides
    And a reader that has read 100 bytes of it
    When the soak writes 60 overrides to it
    Then the reader has got 40 overrides
    And a new reader gets 60 overrides
