Feature: Operator command line
  Guards against keys that leave the program, changes that are sent twice
  under different request ids, and exit codes that mislead a script.

  Scenario Outline: A wrong command line ends with code 2 and sends nothing
    Given an operator stand-in that answers status 200 with code accepted
    When the operator runs "<line>"
    Then the command line ends with code 2
    And the operator stand-in received 0 calls

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
    Given an operator stand-in that answers status <status> with code <code>
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

  Scenario: Without any VM nothing was sent
    Given no operator stand-in listens
    When the operator runs "customer list"
    Then the command line ends with code 7

  Scenario: A change is resent to the next VM under the same request id
    Given an operator stand-in that breaks its first connection
    When the operator runs "customer remove a"
    Then the command line ends with code 0
    And the operator stand-in received 2 calls with one request id

  Scenario: A VM that is gone for good is removed by one change
    Given an operator stand-in that answers status 200 with code accepted
    When the operator runs "vm remove a"
    Then the command line ends with code 0
    And the operator stand-in received 1 calls

  Scenario: A key is made here and only its digest is sent
    Given an operator stand-in that answers status 200 with code accepted
    When the operator runs "key create a --json"
    Then the command line prints a key whose digest was sent
    And the operator stand-in never saw the key

  Scenario: The key of a change with an unknown outcome is not lost
    Given an operator stand-in that answers status 504 with code unknown
    When the operator runs "key create a --json"
    Then the command line prints a key whose digest was sent

  Scenario: A given request id and revision are sent as they are
    Given an operator stand-in that answers status 200 with code accepted
    When the operator runs "key withdraw k --request-id r-1 --expect-revision 7"
    Then the operator stand-in received request id "r-1" at revision 7

  Scenario: The certificates of a fleet fit its addresses
    When the operator makes certificates for "127.0.0.1" and "::1"
    Then the certificates are signed by the authority and name their addresses
    And only the owner can read the private keys of the certificates
