Feature: Bytes of control traffic in a fleet of 94 VMs of three regions
  Guards against messages between VMs that fill the links between regions: in a
  day of 50 s they took more bytes than the requests.

  Scenario: Gossip between regions takes half the bytes under overload control
    Given a fleet of 94 VMs that starts while slots change every 5 s
    When gossip runs for 50 s with and without overload control
    Then between regions it takes at most 0.5 of the bytes
    And every VM knows all others and slots of all regions

  Scenario: A VM that stops is found as fast under overload control
    Given a fleet of 94 VMs that starts while slots change every 5 s
    When a VM stops after 40 s with and without overload control
    Then all others have dropped it after at most 3 s

  Scenario: Evidence of crashes takes half the bytes between regions
    Given a fleet of 94 VMs of which 6 engines crash
    When evidence is exchanged for 20 s with and without overload control
    Then between regions it takes at most 0.5 of the bytes
    And every VM has evidence of every crash

  Scenario: Calls of relays take half the bytes under overload control
    Given a VM with load at 15 engines and 2 plain servers
    When it calls its relay with and without overload control
    Then a call takes at most 0.5 of the bytes
    And it carries the loads of the plain servers

  Scenario: Slots that change before they are repeated go before older news
    Given 93 records of VMs that wait to be gossiped
    When a VM publishes its slots and repeats them at once
    Then the next message holds the slots
