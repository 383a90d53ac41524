Feature: Decoding of the platform's messages
  Guards against malformed input of endpoints or operators that stops a VM or is
  misread, against keys that reach an endpoint, and against names of the
  platform outside its adapter.

  Scenario: A configuration is decoded into the project's types
    Given a platform configuration with two routes and a tenant
    Then its streaming route may be resumed and stays in its home regions
    And its split route shares requests 90 to 10
    And its customer is found by its key and charged in tokens
    And the document is kept as it was sent

  Scenario: A truncated configuration is refused
    Given a platform configuration with two routes and a tenant
    Then every truncated copy of it is refused

  Scenario: Malformed configurations and registrations never raise
    Then 300 random JSON texts are decoded or refused as a configuration
    And 300 random JSON texts are decoded or refused as a registration

  Scenario Outline: A registration that names no usable endpoint is refused: <change>
    Given a platform registration
    When its <change>
    Then the registration is refused

    Examples:
      | change                     |
      | state is "asleep"          |
      | state is null              |
      | zone is "nowhere"          |
      | address is "10.0.0.1"      |
      | sequence is "4"            |
      | service is missing         |

  Scenario: An endpoint that leaves at short notice counts as draining
    Given a platform registration
    When its leavesMs is 1500
    Then the endpoint is draining and leaves in 1500 ms

  Scenario: Neither a key nor a forged header reaches an endpoint
    Given a platform request with forged system headers and a key
    Then the endpoint gets the customer, its own id and the time left
    And neither the key nor a forged header reaches the endpoint
    And a request forwarded to another VM holds no key

  Scenario: The metadata of a request is read from its headers
    Given a platform request with forged system headers and a key
    Then its prompt has parts of 800, 410 and 250 tokens and costs 1540

  Scenario: Responses tell whether a request ran
    Then a signed 200 response is a result and a 503 marked as not executed did not run
    And a 421 response did not run and an unmarked 503 may have run

  Scenario Outline: A load of more or fewer figures is read as far as it is valid: <value>
    The failure: a fourth figure makes the whole report missing.
    Then the load header "<value>" is read as <expected>

    Examples:
      | value        | expected     |
      | 3,1,64       | 3 1 64 None  |
      | 3, 1, 64,250 | 3 1 64 250   |
      | 3,1,64,250,7 | 3 1 64 250   |
      | 3,1,64,x     | 3 1 64 None  |
      | 3,1,64,0     | 3 1 64 None  |
      | 3,1          | missing      |
      | 3,-1,64,100  | missing      |
      | a,b,c        | missing      |

  Scenario: A refusal tells when to retry
    Then a refusal with 300 ms has a Retry-After of 0.300 s

  Scenario: Settings of a disk VM and of an entry VM
    Then at the first start the seeds are the initial voters
    And at a later start there are no initial voters
    And a truncated settings file is refused

  Scenario: Names of the platform occur only in its adapter
    Then no source file of the packages contains a name of the platform
