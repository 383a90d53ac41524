Feature: Parsing what callers and endpoints send
  Guards against input that raises an exception, against engines that may
  generate more than was reserved, and against events of another answer that
  pass because chunks were cut in an unlucky place.
  GATEWAY_FUZZ_EXAMPLES=10000 runs the long fuzz.

  Scenario: Any bytes give a checked body or a refusal
    When the request parser of the gateway is fuzzed with seed 7
    Then the request parser of the gateway never raised

  Scenario: The output bound stands in the body that the engine sees
    Then every body that the gateway parser accepts states its output bound

  Scenario: Events are counted alike however they are cut
    Then the event stream of the gateway counts alike for any cut

  Scenario: A crossed event is found behind equal ones
    Then the event stream of the gateway stops before a crossed event

  Scenario: Keys are removed however they are escaped
    Then the scrubber of the gateway removes a key however it is escaped
