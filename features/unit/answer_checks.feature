Feature: Answer checks of the load client
  Guards against a load client that counts a partial, foreign or repeated
  answer as complete: no run with it could find such an answer.

  Scenario Outline: A stream is judged by each of its tokens
    Given the answer to check is a stream that is <defect>
    Then the answer check says <outcome>

    Examples:
      | defect                     | outcome  |
      | complete                   | complete |
      | short with an end mark     | wrong    |
      | from another request       | wrong    |
      | with a token twice         | wrong    |
      | without an end mark        | broken   |
      | ended by an error event    | failed   |
      | with too small a usage     | wrong    |
      | not JSON                   | wrong    |

  Scenario Outline: An error is judged by what it says about running
    Given the answer to check has status 503 and says executed <executed>
    Then the answer check says <outcome>

    Examples:
      | executed | outcome |
      | no       | refused |
      | unknown  | failed  |

  Scenario Outline: A booking is judged by what ran
    Given a booking check that was told <told> and ran <count> times
    Then the booking check finds <violations> violations

    Examples:
      | told             | count | violations |
      | complete         | 1     | 0          |
      | complete         | 2     | 1          |
      | complete         | 0     | 1          |
      | refused          | 0     | 0          |
      | refused          | 1     | 1          |
      | broken           | 1     | 0          |
      | refused,complete | 1     | 0          |
