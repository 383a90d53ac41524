Feature: Bounds in bytes of what replicates the configuration
  Guards against bounds that count changes, entries or messages whatever their
  size: memory that grows with each large configuration, and messages and
  records that are too large to be read.

  Scenario: A VM that is behind many large versions is sent one of them
    Given a configuration feed that has seen 300 versions of 200000 bytes
    Then a watcher at revision 1 is sent at most 500000 bytes
    And a watcher at revision 299 is sent one delta
    And the feed holds at most 1000000 bytes

  Scenario: A VM that is behind many small changes is sent all of them
    Given a configuration feed that has seen 300 versions of 100 bytes
    Then a watcher at revision 1 is sent 299 deltas

  Scenario: A log of large entries is compacted
    Given a leading core with 3 replicas
    When it commits 40 entries of 300000 bytes, compacting beyond 1000000 bytes
    Then its log holds at most 1300000 bytes

  Scenario: A replica that is far behind is sent messages of a bounded size
    Given a leading core with 3 replicas
    When it commits 300 entries of 300000 bytes without replica c
    And replica c has the entries that it is sent
    Then no message to replica c exceeded 400000 bytes
    And at most 4600000 bytes to replica c were without an answer

  Scenario: An entry above the bounds is sent all the same
    Given a leading core with 3 replicas
    When it commits 2 entries of 6000000 bytes without replica c
    And replica c has the entries that it is sent
    Then no message to replica c exceeded 6100000 bytes

  Scenario: Calls to a replica hold a bounded number of bytes
    Given a link to a replica that answers nothing
    When 100 messages of 300000 bytes are sent on it
    Then no call on it holds more than 1100000 bytes
    And it holds at most 18000000 bytes in all

  Scenario: Records that waited for a slow disk can be read again
    Given replica files without entries
    When 40 entries of 2000000 bytes are written in one go
    Then all of them are read back
    When a snapshot is written along with 40 entries of 2000000 bytes
    Then all of them are read back

  Scenario: A leader without a majority refuses further large operations
    Given a leading core with 3 replicas
    When it is asked for 100 operations of 1000000 bytes that nobody acknowledges
    Then at most 18000000 bytes of them wait and the others are refused
