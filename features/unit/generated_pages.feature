Feature: Generated pages
  Guards against documentation of settings and state charts that differs from
  the code.

  Scenario: The generated pages are current
    When the generated pages are made again
    Then they equal the committed pages
