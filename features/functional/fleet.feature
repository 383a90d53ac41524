Feature: A fleet under faults
  Guards against wrong answers, work that runs twice, keys that still work or
  leak, and configuration that diverges, with real daemons that speak TLS to
  callers and to each other through fault proxies, and simulated endpoints.

  Scenario: A stream crosses to the region that has an engine, once
    Given the fleet runs
    When a fleet caller in the region without endpoints streams a chat
    Then the fleet answer is complete
    And the fleet request reached one endpoint and showed it no key

  Scenario: A request never runs outside the residency of its customer
    Given the fleet runs
    When a fleet caller bound to the region without endpoints asks
    Then the fleet refuses it as not run and no endpoint saw the request

  Scenario: A withdrawn key ends a stream and a kept connection
    Given the fleet runs
    When the key of a fleet caller is withdrawn while it streams
    Then the fleet stream ends with an error and the key is refused everywhere

  Scenario: A withdrawal reaches a VM that was cut off
    Given the fleet runs
    When a fleet key is withdrawn while a VM is cut off from the others
    Then the fleet key works at no VM that the answer says is up to date
    When the fleet is connected again
    Then the fleet key is refused everywhere within seconds

  Scenario: A booking that is sent again at other VMs runs once
    Given the fleet runs
    When a fleet booking is sent at all VMs at once and again later
    Then each complete fleet booking answer is the same and it ran once

  Scenario: An idempotency key is bound to its body
    Given the fleet runs
    When a fleet booking is sent again with another body
    Then the fleet refuses it with idempotency_mismatch and it ran once

  Scenario: Crossed answers never reach callers
    Given the fleet runs
    When all fleet engines cross their next answers while callers stream
    Then no fleet answer is wrong

  Scenario: A stream whose engine breaks is resumed at the exact token
    Given the fleet runs
    When a fleet engine breaks a stream after 5 tokens
    Then the fleet answer is complete

  Scenario: Of two operators under one revision only one succeeds
    Given the fleet runs
    When two fleet operators race under one revision
    Then one fleet operator is accepted and the other is told of the conflict
    And a resent fleet change gets its first answer

  Scenario: A partitioned region serves on and takes no bookings
    Given the fleet runs
    When the first fleet region is partitioned
    Then callers of the first fleet region still get answers
    And its fleet bookings are refused as not run
    And its fleet operators are not told that a change is accepted
    When the fleet is connected again
    Then all fleet VMs reach the same revision
    And the refused fleet bookings never ran

  Scenario: A VM that lost its data folder is rebuilt from the others
    Given the fleet runs
    When a fleet VM is killed, loses its data folder and starts again
    Then all fleet VMs reach the same revision

  Scenario: A customer gets no more than its rate and burst
    Given the fleet runs
    When a fleet customer floods all VMs
    Then the fleet handed out no more than its rate and burst

  Scenario: A planned stop of an endpoint interrupts no request
    Given the fleet runs
    When a fleet engine is stopped while it streams
    Then the fleet answer is complete
    And the stopped fleet process ended with code 0

  Scenario: A planned stop of a VM interrupts no request
    Given the fleet runs
    When a fleet VM is stopped while a caller streams through it
    Then the fleet answer is complete
    And the stopped fleet process ended with code 0
    And the fleet lists the stopped VM no longer
