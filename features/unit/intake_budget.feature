Feature: Memory for what callers send
  Guards against callers that make a process hold more than its memory, and
  against callers that keep others from being served by holding all of it.

  Scenario: 200 callers of one customer send large bodies at once
    Given a budget of 24 MiB for input
    When 200 callers of customer "a" each send 4194303 bytes in reads of 65536
    Then at most 24 MiB were held at any time
    And a caller of customer "b" can send 4194304 bytes

  Scenario: 2000 callers without a key send as much as they can
    Given a budget of 24 MiB for input
    When 2000 callers without a key each send 4194303 bytes in reads of 16384
    Then at most 24 MiB were held at any time
    And a caller of customer "b" can send 4194304 bytes

  Scenario: Small requests are served beside large ones that have stopped
    Given a budget of 24 MiB for input
    When 200 callers of customer "a" each send 4194303 bytes in reads of 65536
    Then a caller of customer "a" can send 32768 bytes

  Scenario: Callers that stopped before the end yield and others end
    Given a budget of 24 MiB for input
    And 10 callers of customer "a" that sent 1048576 bytes and stopped
    When 2 callers of customer "a" go on sending 4194304 bytes for 20 s
    Then each of the 2 could end
    And only callers that had stopped were closed

  Scenario: A slow caller that is alone is not closed
    Given a budget of 24 MiB for input
    And 1 callers of customer "a" that sent 1048576 bytes and stopped
    When 20 s pass
    Then no caller is closed

  Scenario: Paused callers that wait for each other do not wait for ever
    Given a budget of 24 MiB for input
    When 200 callers of customer "a" each send 4194303 bytes in reads of 65536
    And 60 s pass
    Then a caller of customer "a" can send 4194304 bytes

  Scenario Outline: The budget of a VM with <memory> MB
    Then the budget of a VM with <memory> MB is <budget> MiB

    Examples: memory
      | memory  | budget |
      | 112     | 20     |
      | 200     | 64     |
      | unknown | 92     |
      | 64      | 16     |
