Feature: Fault proxy
  Guards against a proxy that loses or reorders bytes without being told to,
  or that applies a fault in the wrong direction: tests that use it would then
  report faults of the proxy as faults of the fleet.

  Scenario: Any bytes pass unchanged in both directions
    Given a fault proxy with delay 1 ms and jitter 3 ms
    Then any fault proxy traffic comes back unchanged and in order

  Scenario: The delay counts in each direction
    Given a fault proxy with delay 40 ms and jitter 0 ms
    Then a fault proxy round trip takes at least 80 ms

  Scenario: The bandwidth bounds the rate
    Given a fault proxy with bandwidth 8 Mbit/s
    Then 200000 bytes through the fault proxy take at least 200 ms

  Scenario: A drop in one direction holds only that direction
    Given a fault proxy with delay 0 ms and jitter 0 ms
    When the fault proxy drops what is sent forward
    Then the fault proxy target receives nothing until the drop ends
    When the fault proxy drops what is sent backward
    Then the fault proxy target receives all and its echo waits

  Scenario: A reset ends the connection for the client
    Given a fault proxy with delay 0 ms and jitter 0 ms
    When the fault proxy resets its connections
    Then the fault proxy client sees the end of the connection

  Scenario: A half-open link hides the end of the target
    Given a fault proxy with delay 0 ms and jitter 0 ms
    When the fault proxy link is half-open and the target closes
    Then the fault proxy client sees no end

  Scenario: The same seed gives the same jitter
    Then two fault proxy links with one seed draw the same jitter
