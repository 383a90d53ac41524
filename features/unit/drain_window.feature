Feature: Which requests a stopping VM still takes
  Guards against requests that are taken long after SIGTERM and cut at the end
  of the drain, and against refusals of callers that only know VMs that stop.

  Scenario: Callers that come during the whole drain
    Given a drain of 6800 ms
    When a request with 12000 ms to its deadline arrives every 50 ms
    Then those of callers are taken for 3000 ms and then refused as not run
    And those of other VMs are refused as not run from the beginning

  Scenario: Requests that end before the drain does are taken
    Given a drain of 6800 ms
    When a request with 2500 ms to its deadline arrives every 50 ms
    Then none that could end after the drain is taken later than 3000 ms
    And those that surely end 100 ms before the drain are all taken

  Scenario: A VM that is not stopping takes everything
    Given no drain
    When a request with 12000 ms to its deadline arrives every 50 ms
    Then all are taken
