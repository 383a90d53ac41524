Feature: VMs tell each other what customers have spent
  Guards against a VM that stops, still serves its callers and is told nothing
  any more: it would refuse all but its own share of a customer's rate.

  Scenario: A VM that has left the fleet is told while it still speaks
    Given a metering VM that knows no other VM
    When a stopping VM tells it that it has spent 5 tokens
    Then the stopping VM is told within 1 s
