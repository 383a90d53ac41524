Feature: A prompt part that crashes endpoints
  The fleet must learn from at most five crashes which part is deadly, and then
  refuse only requests with that part. The scenarios judge the same run.

  Scenario: Requests with a deadly part stop reaching endpoints
    Guards against a part that goes on crashing endpoints because VMs do not
    tell each other what they were sending.
    When the soak with a deadly part runs for 25 s with seed 1
    Then the soak reports no violation about containment

  Scenario: Sound prompts are served while a deadly part is sent
    Guards against endpoints that stay down, and against refusing prompts that
    share only the customer or the first part with deadly ones.
    When the soak with a deadly part runs for 25 s with seed 1
    Then the soak reports no violation about sound prompts

  Scenario: Crashes by a deadly part violate no other guarantee
    Guards against repeated executions, and against a stream without length and
    chunks that ends inside an event but is passed on as complete.
    When the soak with a deadly part runs for 25 s with seed 1
    Then the soak reports no violation about other guarantees
