Feature: Requests that come during the grace of a stop
  Guards against requests that a stopping VM takes and passes on although it
  can't finish them, so that they end without an answer; some may not be
  repeated.

  Scenario: Each moment, kind, time and connection
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 7
    And its configuration has a route of each kind
    And an endpoint with 2000 slots registers
    When the first entry VM is stopped
    And requests of each kind and time come at each tenth of its grace
    Then none that can't be repeated was cut or left without a true answer
    And the others were answered, refused as not run or told that they may have run
    And refusals come at once and some requests of each kind were answered
    And requests that ran when the stop began were answered
