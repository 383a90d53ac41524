Feature: Operator command line
  Guards against keys that are sent to the fleet, changes that are resent under
  a different request id, and wrong exit codes.

  Scenario Outline: An invalid command line ends with code 2 and sends nothing
    Given a fake operator server that answers status 200 with code accepted
    When the operator runs "<line>"
    Then the command line ends with code 2
    And the fake operator server received 0 calls

    Examples:
      | line                                             |
      | customer create                                  |
      | customer create a --rate many --burst 1          |
      | customer create a --rate -1 --burst 1            |
      | customer create a --rate 1                       |
      | target set a --first-token-ms 1 --complete-ms 2 --max-away-share 3 |
      | route set desk bookings                          |
      | apply missing.json --expect-revision 1           |
      | apply missing.json                               |
      | no-such-command                                  |
      | vm remove                                        |
      | customer list --no-such-option                   |
      | customer set-cap a --rate 1 --burst 1 --expect-revision x |

  Scenario Outline: Each outcome of a change has its exit code
    Given a fake operator server that answers status <status> with code <code>
    When the operator runs "customer set-cap a --rate 5 --burst 9"
    Then the command line ends with code <exit>

    Examples:
      | status | code              | exit |
      | 200    | accepted          | 0    |
      | 409    | revision_conflict | 3    |
      | 409    | already_exists    | 3    |
      | 422    | request_id_reused | 3    |
      | 404    | not_found         | 4    |
      | 422    | invalid           | 2    |
      | 503    | not_accepted      | 5    |
      | 504    | unknown           | 6    |
      | 401    | none              | 8    |
      | 400    | none              | 2    |
      | 500    | none              | 6    |

  Scenario: An unreachable fleet has its own exit code
    Given no fake operator server listens
    When the operator runs "customer list"
    Then the command line ends with code 7

  Scenario: A change is resent to the next VM under the same request id
    Given a fake operator server that breaks its first connection
    When the operator runs "customer remove a"
    Then the command line ends with code 0
    And the fake operator server received 2 calls with one request id

  Scenario: A permanently stopped VM is removed by one change
    Given a fake operator server that answers status 200 with code accepted
    When the operator runs "vm remove a"
    Then the command line ends with code 0
    And the fake operator server received 1 calls

  Scenario: A key is generated locally and only its digest is sent
    Given a fake operator server that answers status 200 with code accepted
    When the operator runs "key create a --json"
    Then the command line prints a key whose digest was sent
    And the fake operator server did not receive the key

  Scenario: A key is printed even if the outcome of its creation is unknown
    Given a fake operator server that answers status 504 with code unknown
    When the operator runs "key create a --json"
    Then the command line prints a key whose digest was sent

  Scenario: A given request id and revision are sent unchanged
    Given a fake operator server that answers status 200 with code accepted
    When the operator runs "key withdraw k --request-id r-1 --expect-revision 7"
    Then the fake operator server received request id "r-1" at revision 7

  Scenario: The certificates of a fleet match its addresses
    When the operator makes certificates for "127.0.0.1" and "::1"
    Then the certificates are signed by the authority and name their addresses
    And only the owner can read the private keys of the certificates
