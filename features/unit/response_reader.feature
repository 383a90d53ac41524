Feature: Reading the responses of endpoints
  Guards against responses that are taken for complete or lost because of where
  their bytes are split, and against memory that grows with bytes that are no
  response.  RESPONSE_FUZZ_EXAMPLES=10000 runs the long fuzz test.

  Scenario: Responses are read the same however their bytes are split
    When responses are split at random with seed 19
    Then each of them was read as it is in one piece

  Scenario: Any bytes give a response or the reason why there is none
    When the response reader is fuzzed with seed 23
    Then the response reader never raised

  Scenario Outline: Bytes without end are refused in bounded memory: <kind>
    When the response reader gets <kind> without end in blocks of 1 to 70000 bytes with seed 29
    Then the response is lost as <loss> after less than 1500000 bytes
    And less than 4000000 bytes of memory were in use

    Examples:
      | kind                | loss           |
      | a reason            | oversized_head |
      | a header name       | malformed_reply or oversized_head |
      | a header line       | oversized_head |
      | headers             | oversized_head |
      | blank lines         | oversized_head |
      | interim responses   | oversized_head |
      | a chunk extension   | oversized_head |
      | a trailer line      | oversized_head |
      | trailers            | oversized_head |
      | a foreign body      | foreign_reply  |
      | foreign responses   | foreign_reply  |

  Scenario: A long body is buffered only as far as it is read
    When the response reader gets a body of 20 MB of which each block is read
    Then less than 4000000 bytes of memory were in use

  Scenario: Bytes after the head of a response to HEAD are no body
    When the response to a HEAD request is followed by bytes
    Then the response has no body and its connection is not used again

  Scenario: Numbers of any length in headers do not lose a response
    Then a response with an idle time-out of 5000 digits is read
