Feature: Decoding of what the platform says
  Guards against servers or operators whose unreadable words stop a VM or are
  taken for something else, against keys that reach an endpoint, and against
  names of the platform that spread through the product.

  Scenario: A configuration is read into the project's types
    Given a platform configuration with two routes and a tenant
    Then its streaming route may be resumed and stays in its home regions
    And its split route shares requests 90 to 10
    And its customer is found by its key and charged in tokens
    And the document is kept as it was sent

  Scenario: Any cut of a configuration is refused
    Given a platform configuration with two routes and a tenant
    Then no beginning of it can be read

  Scenario: Hostile configurations and registrations never raise
    Then 300 random JSON texts are read or refused as a configuration
    And 300 random JSON texts are read or refused as a registration

  Scenario Outline: A registration that names no usable server is refused: <change>
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

  Scenario: A server that leaves at short notice counts as draining
    Given a platform registration
    When its leavesMs is 1500
    Then the endpoint is draining and leaves in 1500 ms

  Scenario: Only the system's own headers reach an endpoint
    Given a platform request with forged system headers and a key
    Then the endpoint gets the customer, its own id and the time left
    And neither the key nor a forged header reaches the endpoint
    And another VM gets no key either

  Scenario: The facts of a request are read from its headers
    Given a platform request with forged system headers and a key
    Then its prompt has parts of 800, 410 and 250 tokens and costs 1540

  Scenario: Replies say whether a request ran
    Then a signed 200 reply is a result and 503 with the mark did not run
    And 421 did not run and an unsigned 503 is not known to

  Scenario: A refusal tells when to come back
    Then a refusal with 300 ms asks to come back in 0.300 s

  Scenario: Settings of a disk VM and of an entry VM
    Then at the first start the seeds form the group
    And later nobody forms a group
    And a settings file that is cut is refused

  Scenario: Names of the platform stay in its folder
    Then no other source file holds a name of the platform
