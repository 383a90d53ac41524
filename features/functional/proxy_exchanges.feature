Feature: Requests through an entry VM to endpoints that misbehave
  Guards against responses that belong to another request or look complete
  although they were truncated, against requests that run twice or are reported
  as not run although they may have run, against work that goes on after its
  caller disconnected, and against memory that grows with what an endpoint sends
  or a caller does not read.

  Scenario: A request and its response pass unchanged
    Given an entry VM with endpoints that behave as: ok
    When a caller sends POST /once/x?y=1 with body "hello"
    Then the caller gets 200 "ran 1" with the signature
    And the endpoint got POST /once/x?y=1 with body "hello" and no key

  Scenario Outline: A request that must not be repeated is sent once: <behaviour>
    Given an entry VM with endpoints that behave as: <behaviour>,ok
    When a caller sends POST /once/x with body "hello"
    Then the caller gets <status> without a signature
    And the endpoints were sent <sent> requests

    Examples:
      | behaviour          | status | sent |
      | reset              | 502    | 1    |
      | close              | 502    | 1    |
      | truncate           | 502    | 1    |
      | reset-body         | 502    | 1    |
      | garbage            | 502    | 1    |
      | unsigned           | 502    | 1    |
      | bare-503           | 502    | 1    |
      | no-response        | 504    | 1    |
      | upgrade            | 502    | 1    |
      | events-chunked-cut | 502    | 1    |
      | events-length-cut  | 502    | 1    |
      | events-close-cut   | 502    | 1    |

  Scenario Outline: A request that did not run is retried at the second endpoint: <behaviour>
    Given an entry VM with endpoints that behave as: <behaviour>,ok
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 200 "ran 1" with the signature
    And the endpoints were sent 2 requests

    Examples:
      | behaviour    |
      | not-executed |
      | misdirected  |

  Scenario Outline: A repeatable request is retried at the second endpoint: <behaviour>
    Given an entry VM with endpoints that behave as: <behaviour>,ok
    When a caller sends GET /many/x with body ""
    Then the caller gets 200 "ran 1" with the signature
    And the endpoints were sent 2 requests

    Examples:
      | behaviour          |
      | reset              |
      | close              |
      | truncate           |
      | reset-body         |
      | garbage            |
      | unsigned           |
      | not-executed       |
      | fail               |
      | events-chunked-cut |
      | events-length-cut  |
      | events-close-cut   |
      | bad-refusal        |

  Scenario: An error response of the last endpoint is passed on unchanged
    Given an entry VM with endpoints that behave as: fail,fail
    When a caller sends GET /many/x with body ""
    Then the caller gets 500 "failed" with the signature

  Scenario Outline: A response to another request is skipped: <behaviour>
    Given an entry VM with endpoints that behave as: <behaviour>
    When a caller sends POST /once/x with body "hello" 3 times
    Then the caller gets its own response each time

    Examples:
      | behaviour      |
      | foreign-before |
      | foreign-after  |

  Scenario: A stream that its endpoint truncates does not look complete
    Given an entry VM with endpoints that behave as: truncate-stream
    When a caller sends POST /stream/x with body "hello"
    Then the caller gets a part of the events without the final chunk
    And the log says that request id-1 ended as stream_broken

  Scenario Outline: A stream that ends inside an event does not look complete: <framing>
    Given an entry VM with endpoints that behave as: events-<framing>-cut
    When a caller sends POST /stream/x with body "hello"
    Then the caller gets the cut events and then its connection ends without the final chunk
    And the log says that request id-1 ended as stream_broken
    And the log gives the reason ended_inside_event for the broken stream

    Examples:
      | framing |
      | chunked |
      | length  |
      | close   |
      | untyped |

  Scenario Outline: A stream that ends after an event is complete: <framing>
    Given an entry VM with endpoints that behave as: events-<framing>
    When a caller sends POST /stream/x with body "hello"
    Then the caller gets both events and the end of the response
    And the log says that the answer to id-1 was framed by <logged>

    Examples:
      | framing | logged |
      | chunked | chunks |
      | length  | length |
      | close   | close  |
      | untyped | close  |

  Scenario: A response that ends with its connection is passed on completely
    Given an entry VM with endpoints that behave as: close-delimited
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 200 "ran 1" with the signature

  Scenario Outline: Bytes without end that are no response are not awaited: <behaviour>
    Given an entry VM with endpoints that behave as: <behaviour>
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 502 without a signature
    And the endpoint could send less than 16 MB

    Examples:
      | behaviour        |
      | endless-line     |
      | endless-head     |
      | endless-trailer  |
      | endless-blank    |
      | endless-continue |
      | endless-foreign  |

  Scenario: Bytes without end after a response end with the connection
    Given an entry VM with endpoints that behave as: endless-after
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 200 "ran 1" with the signature
    And the endpoint could send less than 16 MB

  Scenario: A stream is read no faster than its caller reads
    Given an entry VM with endpoints that behave as: endless-body
    When a caller sends POST /stream/x and reads nothing until it is closed
    Then the endpoint could send less than 32 MB

  Scenario: Pipelined requests wait while their caller reads no response
    Given an entry VM with endpoints that behave as: medium
    When a caller sends 200 requests on one connection and reads nothing
    Then the endpoint got less than 100 requests

  Scenario: A response to HEAD has a length and no body
    Given an entry VM with endpoints that behave as: head
    When a caller sends HEAD /many/x twice on one connection
    Then the caller gets two heads with length 9 and no body

  Scenario: Pipelined requests are answered in order on one connection
    Given an entry VM with endpoints that behave as: ok
    When a caller sends two requests at once, the second to close
    Then it gets two responses in order and then the connection closes

  Scenario: A large response is passed on completely
    Given an entry VM with endpoints that behave as: large
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 600000 bytes with the signature

  Scenario: The work of a caller that disconnects is cancelled
    Given an entry VM with endpoints that behave as: no-response
    When a caller disconnects 100 ms after it sent POST /once/x
    Then the endpoint sees its connection close within 500 ms

  Scenario: An unknown route, key and customer are refused
    Given an entry VM with endpoints that behave as: ok
    Then a caller gets 404 for path /none/ and 401 with a wrong key

  Scenario: Size and time limits on requests are enforced
    Given an entry VM with endpoints that behave as: ok
    Then headers above the limit get 431 and a body above it 413
    And incomplete headers get 408

  Scenario: A stopping VM finishes running requests and closes idle connections
    Given an entry VM with endpoints that behave as: slow
    When the VM stops while a request runs
    Then the response has Connection: close and idle connections are closed

  Scenario: A request forwarded by another VM is served or refused as not run
    Given an entry VM with endpoints that behave as: ok
    Then a forwarded request is served without a key
    And without endpoints a forwarded request is refused as not run
    And the log says that forwarded request id-1 was refused as no_endpoint

  Scenario Outline: A part that crashed endpoints reaches no more of them: <deadly>
    Given an entry VM with endpoints that behave as: <deadly>,<deadly>,<deadly>,<deadly>,<deadly>,<deadly>,<deadly>,<deadly>
    When callers send 8 prompts with the deadly part, each after a sound one with its other parts
    Then at most five endpoints crash
    And the last 3 prompts with the deadly part are refused at once as not run
    And each sound prompt is answered

    Examples:
      | deadly           |
      | deadly           |
      | deadly-unframed  |
      | deadly-mid-event |
