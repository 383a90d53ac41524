Feature: Tracing a request through log files
  Guards against an operations page whose example output differs from the
  command's, and against failures on log lines that are not JSON events.

  Scenario Outline: The operations page shows what the tool prints: <request>
    Given the recorded logs
    Then every line that the operations page shows for <request> is printed

    Examples:
      | request          |
      | 9f60ddfbd905c5d5 |
      | bafca84e3f5bb389 |
      | 65474811f70ce922 |

  Scenario: Lines of several VMs are ordered by time
    Given the recorded logs, shuffled and mixed with other lines
    Then request 65474811f70ce922 is traced as in the ordered logs

  Scenario: An unknown request is reported as not found
    Given the recorded logs
    Then tracing request 00 ends with the code for not found
