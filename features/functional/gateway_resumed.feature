Feature: A stream of the own interface that no endpoint can go on with
  Guards against the error of the next endpoint in the middle of a stream that
  another one broke off, and against such a stream that ends as complete.

  Scenario Outline: The answer of the next endpoint does not end up in the stream: <count> VMs
    When a stream breaks off and the next endpoint answers with <count> VMs
    Then each stream ends with an error event and holds nothing of that answer

    Examples:
      | count |
      | 1     |
      | 2     |
