Feature: Parsing what callers and endpoints send
  Guards against input that raises an exception, against engines that may
  generate more than was reserved, and against events of another response that
  are passed on because of where the stream is split into chunks.
  GATEWAY_FUZZ_EXAMPLES=10000 runs the long fuzz test.

  Scenario: Any bytes give a validated body or a refusal
    When the request parser of the gateway is fuzzed with seed 7
    Then the request parser of the gateway never raised

  Scenario: The body sent to the engine contains the output limit
    Then every body that the gateway parser accepts contains its output limit

  Scenario: Events are counted the same however they are split
    Then the event stream of the gateway counts the same for any split

  Scenario: An event of another response is detected after valid ones
    Then the event stream of the gateway stops before an event of another response

  Scenario: The data lines of an event are one payload
    Then the event stream of the gateway joins the data lines of an event

  Scenario: Keys are redacted however they are escaped
    Then the scrubber of the gateway redacts a key however it is escaped
