Feature: VMs exchange the token usage of customers
  Guards against a stopping VM that still serves its callers but gets no more
  reports: it would refuse all but its own share of a customer's rate.

  Scenario: A VM that has left the fleet gets reports while it still sends them
    Given a metering VM that knows no other VM
    When a stopping VM reports to it that 5 tokens were spent
    Then the stopping VM gets a report within 1 s
