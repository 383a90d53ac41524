Feature: Refusals that an endpoint repeats on a kept connection
  Guards against a caller that is told 'not run' for a request that runs, and
  against such a request that runs at a second endpoint, because a refusal of an
  earlier request was taken for the answer.

  Scenario Outline: A refusal without an id is not the answer to a later request: <way>, <prefix>
    Given a fleet with a second endpoint where requests are served by <way>
    When an endpoint repeats earlier refusals before its answers on <prefix>
    Then each caller gets the answer to its request
    And no request is sent to the second endpoint

    Examples:
      | way        | prefix   |
      | one VM     | /once/   |
      | one VM     | /many/   |
      | one VM     | /stream/ |
      | another VM | /once/   |
      | another VM | /many/   |
      | another VM | /stream/ |
