Feature: Forwarding between VMs
  Guards against requests that are forwarded in a loop, leave their residency
  or end without an error when a VM on the path is lost.

  Scenario Outline: A request is forwarded once and served
    Given two gateway VMs in regions with endpoints "sound"
    When the gateway is asked for a <kind> answer of 6 tokens
    Then the gateway gave the whole answer of 6 tokens
    And the gateway charged 6 output tokens
    And the forwarded request of the gateway carried hop 1 and no key

    Examples:
      | kind   |
      | stream |
      | whole  |

  Scenario: A forwarded request is served or refused, never forwarded
    Given two gateway VMs in regions with endpoints "sound"
    Then the forward listener of the gateway refuses what it must not serve

  Scenario: A serving VM that is lost ends the stream with an error
    Given two gateway VMs in regions with endpoints "slow"
    When the gateway loses the serving VM in the middle of a stream
    Then the gateway gave the error "stream_broken" with executed "unknown"

  Scenario: A request to an unreachable VM is refused as not executed
    Given two gateway VMs in regions with endpoints "sound"
    When the serving VM of the gateway is down
    Then the gateway gave the error "region_unreachable" with executed "no"

  Scenario: A forwarded request that is still being read survives a drain
    Guards against a connection that closes in the middle of a forwarded body,
    which leaves the entry VM unable to say that the request has not run.
    Given a gateway VM with endpoints "sound" that drains for 5000 ms
    When a body forwarded to the gateway ends after the others left the drain
    Then the gateway refused the request as not executed and called no endpoint

  Scenario: Callers that go on using open connections get whole answers
    Guards against refusals that keep a connection open on a stopping VM, and
    against answers cut by stops that overlap.
    Given two gateway VMs in regions with endpoints "sound"
    When callers use open connections of two gateways until both have stopped
    Then each answer was whole and each refusal closed its connection
