Feature: Networks of test fleets
  Guards against test runs side by side that bind the same addresses, so that
  one of them ends without a verdict.

  Scenario: Runs of the same seed use different networks
    Given a run that has reserved the first of 3 networks
    Then other runs get the other 2 networks, and a third one gets none
    And the first network is free again after its run
