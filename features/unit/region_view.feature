Feature: Estimate of the own region at the entry VM
  Guards against a request of a customer that is bound to another region
  breaking the placement invariant at its entry VM.

  Scenario: The own region offers nothing to a customer bound elsewhere
    Given an entry VM with a free endpoint in its region
    When the region is estimated for a customer bound to another region
    Then the estimate offers no endpoint
    And the estimate offers the endpoint to a customer without residency
