Feature: Which requests a stopping VM still takes
  Guards against requests that are taken after SIGTERM and cut at the end of the
  drain although they can't be repeated, and against refusals of callers that
  only know VMs that stop.

  Scenario: Callers that come during the whole drain
    Given a drain of 6800 ms
    When a request with 12000 ms to its deadline arrives every 50 ms
    Then repeatable ones of callers are taken for 3000 ms and then refused as not run
    And those that can't be repeated are refused as not run from the beginning
    And those of other VMs are refused as not run from the beginning
    And none that can't be repeated could run at the end of the drain

  Scenario Outline: Requests of any length to their deadline: <left_ms> ms
    Given a drain of 6800 ms
    When a request with <left_ms> ms to its deadline arrives every 50 ms
    Then none that can't be repeated could run at the end of the drain
    And those that surely end 100 ms before the drain are all taken

    Examples:
      | left_ms |
      | 1       |
      | 500     |
      | 3000    |
      | 3800    |
      | 5000    |
      | 6700    |

  Scenario: Requests that end before the drain does are taken
    Given a drain of 6800 ms
    When a request with 2500 ms to its deadline arrives every 50 ms
    Then none that could end after the drain is taken later than 3000 ms
    And those that surely end 100 ms before the drain are all taken

  Scenario: A VM that is not stopping takes everything
    Given no drain
    When a request with 12000 ms to its deadline arrives every 50 ms
    Then all are taken
