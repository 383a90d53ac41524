Feature: Order of the membership changes of a group
  Guards against a dead voter that outlives the promotion of its successor and
  raises the majority, and against voters that are removed although the group
  needs their disks.

  Scenario Outline: <case>
    Given a group with the voters <voters> and the learners <learners>
    And of them <missing> are missing
    When the leader makes all changes that it plans
    Then it made <changes>
    And the group tolerated at least as many further failures at each step

    Examples:
      | case                                            | voters        | learners | missing | changes                                                     |
      | A replaced VM                                   | a,b,c,d,e     | f        | b       | remove b, promote f                                         |
      | Two VMs replaced at once                        | a,b,c,d,e     | f,g      | b,c     | remove b, promote f, remove c, promote g                    |
      | A VM replaced before its death is noticed       | a,b,c,d,e,f   | -        | b       | remove b                                                    |
      | Three VMs replaced, all successors vote already | a,b,c,d,e,f,g | -        | b,c     | remove b, remove c                                          |
      | A replaced VM of a small group                  | a,b,c         | d        | b       | remove b, promote d                                         |
      | A voter that restarts                           | a,b,c,d,e     | -        | b       | nothing                                                     |
      | A lost disk while another voter is frozen       | a,b,c,d       | e        | b       | promote e                                                   |
      | Two voters down                                 | a,b,c,d,e     | -        | b,c     | nothing                                                     |
      | A successor that died itself                    | a,b,c,d,e     | f        | f       | remove f                                                    |
      | A group that is as large as it may be           | a,b,c,d,e,f,g | h        | -       | nothing                                                     |
      | A dead voter of the largest group               | a,b,c,d,e,f,g | h        | b       | remove b, promote h                                         |

  Scenario: A learner that is behind is neither promoted nor a reason to remove
    Given a group with the voters a,b,c,d,e and the learners f
    And of them b are missing
    And the learners are behind
    When the leader makes all changes that it plans
    Then it made nothing

  Scenario Outline: A voter is not missing by <evidence> alone
    Given a group with the voters a,b,c,d,e and the learners f
    And voter b is missing by <evidence> alone
    When the leader makes all changes that it plans
    Then it made promote f

    Examples:
      | evidence |
      | gossip   |
      | silence  |

  Scenario: Each combination of voters, learners and missing VMs
    When the plans of all groups of 3 to 7 voters and up to 3 learners are made
    Then no step lowered the tolerance of a group or its majority below 3
    And no group kept a missing voter beside its ready successor
