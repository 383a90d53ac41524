Feature: Floods of request bodies at the own interface
  Guards against callers that make a VM hold more memory than it has, or keep
  it from ordinary callers, by bodies that they don't finish. The VM has the
  default memory. Each scenario runs one VM and one plain service.

  Scenario Outline: A crowd of 40 callers leaves its <body> bodies open
    Given a flooded VM with its plain service
    When 40 callers <key> a key send <body> bodies to the flooded VM and stay
    Then the flooded VM answers one ordinary request
    And the flooded VM kept within its memory and descriptors

    Examples: Bodies
      | body           | key     |
      | announced      | with    |
      | chunked        | with    |
      | tiny chunks    | with    |
      | oversized      | with    |
      | huge chunk     | with    |
      | huge announced | with    |
      | pipelined      | with    |

  Scenario Outline: A crowd of 40 callers without a key leaves <body> bodies open
    Given a flooded VM with its plain service
    When 40 callers <key> a key send <body> bodies to the flooded VM and stay
    Then the flooded VM answers one ordinary request
    And the flooded VM kept within its memory and descriptors

    Examples: Bodies
      | body           | key     |
      | announced      | without |
      | chunked        | without |
      | oversized      | without |

  Scenario: A lone caller sends the largest legal body slowly
    Given a flooded VM with its plain service
    When a lone caller sends the largest legal body to the VM in slow pieces
    Then the lone caller got the answer to its whole body
    And the flooded VM kept within its memory and descriptors
