Feature: Memory and time for responses that never end
  Guards against a VM that gives all its memory or all its time to a few faulty
  endpoints.

  Scenario: Connections with small pieces get a bounded share of the time
    Given 60 connections that each have 8000 bytes in 1200 pieces every 50 ms
    When their reads are paced for 20 s
    Then parsing took at most 12 percent of that time
    And no read waited longer than 5000 ms

  Scenario Outline: A read of <pieces> pieces and <bytes> bytes is not held up
    Given 60 connections that each have <bytes> bytes in <pieces> pieces every 50 ms
    When their reads are paced for 20 s
    Then no read waited longer than 0 ms

    Examples:
      | pieces | bytes |
      | 1      | 8000  |
      | 48     | 480   |
      | 130    | 8000  |

  Scenario: Many large responses share the memory for buffered ones
    Given the memory for buffered responses
    When 500 responses of unknown length arrive at once
    Then the first may buffer 262144 bytes and each of them at least 8192
    And all together may buffer at most 21000000 bytes
    When all of them have ended
    Then the next response may buffer 262144 bytes

  Scenario: Short responses leave the memory to others
    Given the memory for buffered responses
    When 500 responses of 800 bytes arrive at once
    Then the next response may buffer 262144 bytes

  Scenario: A connection that waits for its turn is not used for a request
    Given a connection that received a whole response in 3000 chunks of 2 bytes
    Then the response was read completely
    And the connection is not usable before its turn
