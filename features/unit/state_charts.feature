Feature: State charts
  Guards against charts that name missing states, leave states unreachable,
  or are not the ones that the code interprets.

  Scenario Outline: Every chart in the package is valid
    When the chart "<name>" is loaded
    Then every state of it can be reached
    And an event that it does not name breaks an invariant

    Examples:
      | name               |
      | replica_role       |
      | vm_membership      |
      | endpoint_lifecycle |
      | request_lifecycle  |
      | booking_claim      |
      | lease              |
      | drain              |

  Scenario: A chart with an unknown target state is rejected
    Then a chart that leads to a missing state breaks an invariant
