Feature: State charts
  Guards against charts that refer to undefined states, have unreachable states
  or differ from the ones that the code interprets.

  Scenario Outline: Every chart in the package is valid
    When the chart "<name>" is loaded
    Then every state is reachable
    And an unknown event violates an invariant

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
    Then a chart with an undefined target state violates an invariant
