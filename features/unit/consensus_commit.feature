Feature: Commit index of the followers
  Guards against a follower that applies a committed change, such as the
  withdrawal of a key, only at the next heartbeat, because it acknowledged the
  entry after the majority had committed it.

  Scenario: A follower that acknowledges late learns of the commit at once
    Given a consensus leader with followers b and c
    When the leader commits a command that only follower b has acknowledged
    And follower c acknowledges the command
    Then follower c has committed the command without a tick of the leader

  Scenario: A follower that knows the commit index is sent nothing more
    Given a consensus leader with followers b and c
    When the leader commits a command that only follower b has acknowledged
    And follower c acknowledges the command
    And all consensus messages are delivered
    Then the leader has nothing more to send
