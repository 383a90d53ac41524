Feature: Following a request through log files
  Guards against an operations page that shows what the tool does not print,
  and against log files whose other lines stop the tool.

  Scenario Outline: The operations page shows what the tool prints: <request>
    Given the recorded logs
    Then every line that the operations page shows for <request> is printed

    Examples:
      | request          |
      | 9f60ddfbd905c5d5 |
      | bafca84e3f5bb389 |
      | 65474811f70ce922 |

  Scenario: Lines of several VMs come in order of time
    Given the recorded logs, shuffled and mixed with other lines
    Then request 65474811f70ce922 is traced as in the ordered logs

  Scenario: An unknown request is said to be unknown
    Given the recorded logs
    Then tracing request 00 ends with the code for not found
