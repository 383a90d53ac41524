Feature: Many large requests from callers that nobody controls
  Guards against an entry VM that keeps what callers send, or what they begin
  to send and never end, until it runs out of memory, and against one that
  serves nobody while such callers stay connected.

  # 40 bodies of 4 MiB are more than a VM of 112 MB can hold; the process takes
  # some 52 MB before.
  Scenario Outline: 40 callers send <form>
    Given a platform fleet of 1 disk VMs and 1 entry VMs with 112 MB and 128 descriptors, ports seed <seed>
    And it serves requests
    When 40 callers send <form> and stay connected
    Then an ordinary request is answered meanwhile
    And the entry VM stayed within its memory and descriptors and still runs

    Examples: forms
      | form                                        | seed |
      | a body less its last byte                   | 51   |
      | a body less its last byte without a key     | 52   |
      | a body less its last byte to another path   | 53   |
      | half a body in pieces of 1 KB               | 54   |
      | chunks of 64 KB without the last            | 55   |
      | chunks of 7 bytes without the last          | 56   |
      | chunks of 1 byte without the last           | 57   |
      | whole bodies                                | 58   |
      | 400 MB announced                            | 59   |
      | a chunk of 400 MB                           | 60   |
      | 32 MiB in chunks                            | 61   |
      | a body less its last byte behind a small one | 62   |

  Scenario: A lone caller sends a body of the largest size over a slow link
    Given a platform fleet of 1 disk VMs and 1 entry VMs with 112 MB and 128 descriptors, ports seed 63
    And it serves requests
    When a caller sends a whole body in 256 pieces over 10 s
    Then it is answered with 200
