Feature: Gateway for callers
  Guards against responses that are truncated, swapped between requests or
  executed twice without an error, against keys that leak or stay valid after
  their withdrawal, and against refusals that misreport execution.

  Scenario: The openai client works unmodified
    Given a gateway VM with endpoints "sound"
    Then the gateway serves the openai client streams, answers, models and errors

  Scenario: A key never leaves the gateway
    Given a gateway VM with endpoints "sound"
    When the gateway gets the key in header, query, path and escaped body
    Then no endpoint of the gateway saw the key

  Scenario: Requests of a withdrawn key are cancelled within a second
    Given a gateway VM with endpoints "slow"
    When the key is withdrawn while the gateway streams
    Then the gateway ended the stream with the error "key_withdrawn"
    And the gateway refuses the key on the same connection with 401

  # The timer that checks the keys of running requests is too slow in these two:
  # work that began after the withdrawal was known would reach the endpoint.
  Scenario: A request whose key is withdrawn while its body is read never starts
    Given a gateway VM with endpoint "sound" that checks keys every minute
    When the key is withdrawn while the gateway reads the body of a request
    Then the gateway refused the request with 401 and "key_withdrawn"
    And no endpoint of the gateway was called

  Scenario: A request whose key is withdrawn while it waits never starts
    Given a gateway VM with endpoint "sound" that checks keys every minute
    When the key is withdrawn while a request waits for its tokens
    Then the gateway refused the request with 401 and "key_withdrawn"
    And no endpoint of the gateway was called

  Scenario Outline: A request to a faulty endpoint is retried on another
    Given a gateway VM with endpoints "<faulty>, sound"
    When the gateway is asked for a <kind> answer of 6 tokens
    Then the gateway gave the whole answer of 6 tokens
    And the gateway counted one retry
    And the gateway charged 6 output tokens

    Examples:
      | faulty       | kind    |
      | cut          | stream  |
      | stall        | stream  |
      | wrong_id     | stream  |
      | wrong_header | stream  |
      | not_run      | stream  |
      | error        | whole   |
      | short        | whole   |
      | wrong_id     | whole   |
      | down         | whole   |

  Scenario Outline: A failure without retry ends with an explicit error
    Given a gateway VM with endpoints "<faulty>"
    When the gateway is asked for a <kind> answer of 6 tokens
    Then the gateway gave the error "<code>" with executed "<executed>"

    Examples:
      | faulty       | kind   | code             | executed |
      | cut          | stream | stream_broken    | unknown  |
      | wrong_header | whole  | answer_mismatch  | unknown  |
      | short        | whole  | endpoint_failed  | unknown  |
      | hang         | whole  | endpoint_timeout | unknown  |
      | not_run      | whole  | endpoint_failed  | no       |
      | down         | stream | endpoint_failed  | no       |

  Scenario: A stream is not resumed where the engine cannot resume
    Given a gateway VM with endpoints "cut, noresume"
    When the gateway is asked for a stream answer of 6 tokens
    Then the gateway gave the error "stream_broken" with executed "unknown"

  Scenario Outline: A request is cancelled when its caller disconnects
    Given a gateway VM with endpoints "<endpoint>"
    When a caller of the gateway disconnects during a <kind> answer
    Then the gateway cancelled the request at the engine and settled

    Examples:
      | endpoint | kind   |
      | slow     | stream |
      | hang     | whole  |

  Scenario: A slow caller applies backpressure to the endpoint
    Given a gateway VM with endpoints "flood"
    When a caller of the gateway reads nothing of a large stream
    Then the endpoint of the gateway could send less than 32 MB of 128 MB

  Scenario: Headers restrict work class and residency, never extend them
    Given two gateway VMs in regions with endpoints "sound"
    Then the gateway applies the headers as follows
      | work_class | residency      | status | class       | regions |
      |            |                | 200    | interactive | tunis-a sfax-a |
      | batch      | sfax-a         | 200    | batch       | sfax-a  |
      |            | sfax-a,paris   | 200    | interactive | sfax-a  |
      |            | paris          | 403    |             |         |
      | nightly    |                | 400    |             |         |

  Scenario: Invalid input is refused and executes nothing
    Given a gateway VM with endpoints "sound"
    Then the gateway refuses every kind of invalid input with a 4xx
    And no endpoint of the gateway was called

  Scenario: Slow headers and bodies do not hold a connection
    Given a gateway VM whose input timeouts are short with endpoint "sound"
    Then the gateway closes connections that send headers slowly or stop in the body
    And no endpoint of the gateway was called

  Scenario: A request that is still being read survives a drain
    Given a gateway VM with endpoints "sound"
    Then the gateway answers a request whose body ends during the drain

  Scenario: A draining VM finishes running requests and refuses new ones
    Given a gateway VM with endpoints "slow"
    When the gateway drains while a stream runs
    Then the gateway finished the stream and refused new requests as not executed

  Scenario: A request that could outlast the drain is not started
    Guards against work that begins long after the stop and is cut at its end.
    Given a gateway VM with endpoints "slow" that drains for 3000 ms
    When a gateway request whose body began before the stop ends after it
    Then the gateway refused the request as not executed and called no endpoint

  Scenario: A queued request that could outlast the drain is refused at once
    Guards against callers that wait for the drain deadline to get no answer.
    Given a gateway VM with endpoints "sound" that drains for 3000 ms
    When the gateway stops while a request waits for an endpoint
    Then the gateway refused the request as not executed and called no endpoint

  Scenario Outline: A drain that ends early gives running requests an error
    Guards against connections that close without an answer or an error event.
    Given a gateway VM with endpoints "<endpoint>" that drains for 300 ms
    When the drain of the gateway ends while a <kind> answer runs
    Then the caller of the gateway was told that its request may have run

    Examples:
      | endpoint | kind   |
      | slow     | stream |
      | hang     | whole  |

  Scenario: A second stop request ends the drain
    Given a gateway VM with endpoints "hang"
    Then a second stop request ends the drain of the gateway

  Scenario: Certificates are reloaded without a restart
    Given a gateway VM with TLS
    Then the gateway presents the new certificate after the files change
