Feature: Changes of endpoints that a VM misses
  Guards against a VM that goes on sending requests to an endpoint that drains
  or has left, because the change went to the live VMs while this one started,
  or was lost on its way.

  Scenario Outline: A VM that missed a change learns of it by the next renewals: <reason>
    Given VMs that replicate endpoints
    When a VM misses each change of an endpoint because <reason>
    Then it learns of each within two rounds of renewals

    Examples:
      | reason                |
      | a push is lost        |
      | it was not known then |
