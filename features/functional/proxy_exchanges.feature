Feature: Requests through an entry VM to endpoints that misbehave
  Guards against answers that belong to another request or look whole although
  they were cut, against requests that run twice or are said not to have run
  although they may have, and against work that goes on after its caller left.

  Scenario: A request passes unchanged and its answer comes back whole
    Given an entry VM with endpoints that do: ok
    When a caller sends POST /once/x?y=1 with body "hello"
    Then the caller gets 200 "ran 1" with the signature
    And the endpoint got POST /once/x?y=1 with body "hello" and no key

  Scenario Outline: A request that may not be repeated is sent once: <deed>
    Given an entry VM with endpoints that do: <deed>,ok
    When a caller sends POST /once/x with body "hello"
    Then the caller gets <status> without a signature
    And the endpoints were sent <sent> requests

    Examples:
      | deed      | status | sent |
      | reset     | 502    | 1    |
      | close     | 502    | 1    |
      | truncate  | 502    | 1    |
      | cut-open  | 502    | 1    |
      | garbage   | 502    | 1    |
      | unsigned  | 502    | 1    |
      | promise   | 502    | 1    |
      | silent    | 504    | 1    |

  Scenario Outline: What surely did not run is sent to the second: <deed>
    Given an entry VM with endpoints that do: <deed>,ok
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 200 "ran 1" with the signature
    And the endpoints were sent 2 requests

    Examples:
      | deed      |
      | shed      |
      | elsewhere |

  Scenario Outline: A repeatable request is served by the second endpoint: <deed>
    Given an entry VM with endpoints that do: <deed>,ok
    When a caller sends GET /many/x with body ""
    Then the caller gets 200 "ran 1" with the signature
    And the endpoints were sent 2 requests

    Examples:
      | deed     |
      | reset    |
      | close    |
      | truncate |
      | cut-open |
      | garbage  |
      | unsigned |
      | shed     |
      | fail     |

  Scenario: A failure of the last endpoint is passed on as it is
    Given an entry VM with endpoints that do: fail,fail
    When a caller sends GET /many/x with body ""
    Then the caller gets 500 "failed" with the signature

  Scenario Outline: Bytes of another request are skipped: <deed>
    Given an entry VM with endpoints that do: <deed>
    When a caller sends POST /once/x with body "hello" 3 times
    Then the caller gets its own answer each time

    Examples:
      | deed    |
      | crossed |
      | extra   |

  Scenario: A stream that its endpoint cuts does not look whole
    Given an entry VM with endpoints that do: cut-stream
    When a caller sends POST /stream/x with body "hello"
    Then the caller gets a part of the events and no end
    And the log says that request id-1 ended as stream_broken

  Scenario: A reply to HEAD has a length and no body
    Given an entry VM with endpoints that do: head
    When a caller sends HEAD /many/x twice on one connection
    Then the caller gets two heads with length 9 and no body

  Scenario: Pipelined requests are answered in order on one connection
    Given an entry VM with endpoints that do: ok
    When a caller sends two requests at once, the second to close
    Then it gets two answers in order and then the end

  Scenario: A large answer is passed on whole
    Given an entry VM with endpoints that do: large
    When a caller sends POST /once/x with body "hello"
    Then the caller gets 600000 bytes with the signature

  Scenario: The work of a caller that leaves is cancelled
    Given an entry VM with endpoints that do: silent
    When a caller leaves 100 ms after it sent POST /once/x
    Then the endpoint sees its connection close within 500 ms

  Scenario: An unknown route, key and customer are refused
    Given an entry VM with endpoints that do: ok
    Then a caller gets 404 for path /none/ and 401 with a wrong key

  Scenario: Limits on what a caller sends are kept
    Given an entry VM with endpoints that do: ok
    Then headers above the limit get 431 and a body above it 413
    And headers that do not end get 408

  Scenario: A VM that stops answers what it has and closes the rest
    Given an entry VM with endpoints that do: slow
    When the VM stops while a request runs
    Then the request is answered, says close, and idle connections end

  Scenario: A request forwarded by another VM is served or refused as not run
    Given an entry VM with endpoints that do: ok
    Then a forwarded request is served without a key
    And without endpoints a forwarded request is refused as not run
    And the log says that forwarded request id-1 was refused as no_endpoint
