Feature: Blame of requests and prompt parts that crash endpoints
  Guards against a request or a part of a prompt that crashes one endpoint after
  another, and against refusing sound requests that share other parts with it.

  Scenario: A part that was in two crashes is refused, and no other
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts system-1/bad
    And endpoint b crashes at 3000 with prompts system-2/bad
    Then prompt system-1/bad is refused at 3001 for 29999 ms because of bad
    And prompt system-1/sound is allowed at 3001

  Scenario: The last part of a prompt is never blamed
    Given a VM that looks for deadly parts
    When endpoints crash at 1000, 3000, 5000 and 7000 with only the last part
    Then all prompts are allowed at 7001

  Scenario: A request without a prompt that was in two crashes is refused
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts :read,:other
    And endpoint b crashes at 3000 with prompts :read
    Then prompt :read is refused at 3001 for 29999 ms because of :read
    And prompt :other is allowed at 3001

  Scenario: A request is refused before the parts that came with it
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts tool/:one
    And endpoint b crashes at 3000 with prompts tool/:one
    Then prompt tool/:one is refused at 3001 for 29999 ms because of :one
    And prompt tool/:two is allowed at 3001
    When endpoint c crashes at 5000 with prompts tool/:two
    Then prompt tool/:three is refused at 5001 for 29999 ms because of tool

  Scenario: A read that is answered everywhere is not refused for crashes
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts :view
    And an answer to prompt :view goes on at 2000
    And endpoint b crashes at 3000 with prompts :view
    And an answer to prompt :view goes on at 4000
    And endpoint c crashes at 5000 with prompts :view
    And endpoint d crashes at 7000 with prompts :view
    Then prompt :view is allowed at 7001

  Scenario: A request is recognized by its caller, target and body
    Then a request is the same for the same caller, target and body only

  Scenario: An answer clears a part of the crashes before it
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts tool
    And an answer to prompt tool goes on at 2000
    And endpoint b crashes at 3000 with prompts tool
    And endpoint c crashes at 5000 with prompts tool
    Then prompt tool is allowed at 5001

  Scenario: Endpoints that are lost at once count as one crash
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts popular
    And endpoint b crashes at 1050 with prompts popular
    And endpoint c crashes at 1100 with prompts popular
    Then prompt popular is allowed at 1101

  Scenario: A crash is forgotten after a minute
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts tool
    And endpoint b crashes at 62000 with prompts tool
    Then prompt tool is allowed at 62001

  Scenario: Of parts that always came together an answer frees the innocent one
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts tool/bad
    And endpoint b crashes at 3000 with prompts tool/bad
    And an answer to prompt tool goes on at 3300
    Then prompt tool is allowed at 3301
    And prompt tool/bad is refused at 3301 for 29699 ms because of bad

  Scenario: A part that was answered lately needs one crash more
    Given a VM that looks for deadly parts
    When an answer to prompt tool goes on at 500
    And endpoint a crashes at 1000 with prompts tool
    And endpoint b crashes at 3000 with prompts tool
    Then prompt tool is allowed at 3001
    When endpoint c crashes at 5000 with prompts tool
    Then prompt tool is refused at 5001 for 29999 ms because of tool

  Scenario: Parts that were answered lately and came together are tried soon
    Given a VM that looks for deadly parts
    When an answer to prompt tool/bad goes on at 500
    And endpoint a crashes at 1000 with prompts tool/bad
    And endpoint b crashes at 3000 with prompts tool/bad
    And endpoint c crashes at 5000 with prompts tool/bad
    Then prompt tool is refused at 5001 for 1999 ms because of tool
    And prompt tool is tried at 7000
    When the trial of tool is sent at 7000
    And an answer to prompt tool goes on at 7500
    Then prompt tool is allowed at 7501

  Scenario: A crash with a refused part among its suspects blames no other
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts bad
    And endpoint b crashes at 3000 with prompts bad
    And endpoint c crashes at 5000 with prompts bad,sound
    And endpoint d crashes at 7000 with prompts bad,sound
    Then prompt sound is allowed at 7001

  Scenario: After the hold one request tries the part
    Given a VM that refuses part bad since 3000
    Then prompt bad is tried at 33000
    When the trial of bad is sent at 33000
    Then prompt bad is refused at 33001 for 1000 ms because of bad
    When the trial of bad ends unsent at 33050
    Then prompt bad is tried at 33060
    When the trial of bad is sent at 33060
    Then prompt bad is refused at 43059 for 1000 ms because of bad
    And prompt bad is tried at 43060

  Scenario: A crash during the trial doubles the hold, up to ten minutes
    Given a VM that refuses part bad since 3000
    When trials of bad crash endpoints as soon as they are allowed
    Then the holds of bad are 60, 120, 240, 480, 600 and 600 s

  Scenario: An answer to the trial frees the part and the next crash blames it
    Given a VM that refuses part bad since 3000
    When the trial of bad is sent at 33000
    And endpoint c crashes at 33400 with prompts bad
    Then prompt bad is refused at 33401 for 59999 ms because of bad
    When the trial of bad is sent at 93400
    And an answer to prompt bad goes on at 93900
    Then prompt bad is allowed at 93901
    When endpoint d crashes at 200000 with prompts bad
    Then prompt bad is refused at 200001 for 119999 ms because of bad

  Scenario: Two parts that always come together are tried together in the end
    Given a VM that looks for deadly parts
    When endpoint a crashes at 1000 with prompts tool/bad
    And endpoint b crashes at 3000 with prompts tool/bad
    Then prompt tool/bad is refused at 33000 for 10000 ms because of tool
    And prompt tool/bad is tried at 43000
    When the trial of tool is sent at 43000
    And an answer to prompt tool/bad goes on at 43500
    Then prompt tool/bad is allowed at 43501

  Scenario: VMs that noticed one crash each name the part together
    Given 2 VMs that exchange reports, whose clocks differ
    When each VM notices one crash with part bad
    Then both VMs refuse part bad and allow the other parts

  Scenario: Repeated, reordered and late reports change nothing
    Given 2 VMs that exchange reports, whose clocks differ
    When each VM notices one crash with part bad
    And all reports arrive again in the opposite order
    Then both VMs refuse part bad and allow the other parts
    And both VMs count 2 crashes of part bad
    When an answer frees part bad on one VM
    And all reports arrive again in the opposite order
    Then both VMs allow part bad

  Scenario: A VM that restarted learns what is refused
    Given 2 VMs that exchange reports, whose clocks differ
    When each VM notices one crash with part bad
    And one VM restarts and receives the other's report
    Then both VMs refuse part bad and allow the other parts

  Scenario: VMs take turns to try a part
    Given 40 VMs that refuse part bad
    Then at each moment at most a fifth of them may try it
    And each of them may try it within 4 s

  Scenario: State and reports stay small
    Given a VM that looks for deadly parts
    When 500 endpoints crash with 50 prompts of 10 parts each
    Then its report has at most 4096 bytes and its state holds at most 64 crashes

  Scenario: A VM without evidence has nothing to send
    Given a VM that looks for deadly parts
    When an answer to prompt tool goes on at 500
    Then it has nothing to send

  Scenario Outline: The fleet names a deadly part within five crashes: <load>
    When <count> fleets with deadly parts run: <load>
    Then each deadly part is named within 5 crashes
    And no VM sends it once all could know
    And at most <refused> in 1000 sound requests are refused

    Examples:
      | load                       | count | refused |
      | 6 VMs                      | 200   | 10      |
      | 2 VMs                      | 50    | 10      |
      | 40 VMs                     | 10    | 10      |
      | a companion part           | 50    | 10      |
      | reports in disorder        | 50    | 10      |
      | a VM restarts              | 50    | 10      |
      | a VM is partitioned        | 50    | 10      |
      | endpoints crash beside it  | 50    | 10      |

  Scenario: The fleet names two deadly parts within five crashes each
    When 50 fleets with deadly parts run: two deadly parts
    Then each deadly part is named within 5 crashes
    And no VM sends it once all could know

  Scenario Outline: The fleet stops a deadly request: <load>
    When <count> fleets with deadly parts run: <load>
    Then each deadly part is named within 5 crashes
    And no VM sends it once all could know
    And no deadly request reaches more endpoints than the users allow
    And at most 10 in 1000 sound requests are refused

    Examples:
      | load                         | count |
      | a request with a prompt      | 50    |
      | a request beside a part      | 50    |
      | a read                       | 50    |
      | a read that is retried       | 50    |
      | a read on 40 VMs             | 10    |
      | a read and one endpoint      | 20    |
      | a read while endpoints crash | 50    |
      | a read, reports in disorder  | 50    |
      | a read, a VM restarts        | 50    |
      | two reads                    | 50    |

  Scenario: Two deadly parts get few sound requests refused
    When 50 fleets with deadly parts run: two deadly parts
    Then at most 10 in 1000 sound requests are refused

  Scenario Outline: Crashes without a deadly part get nothing refused for long: <load>
    When 50 fleets without deadly parts run: <load>
    Then at most 1 in 1000 sound requests are refused
    And no popular part is refused

    Examples:
      | load                   |
      | single endpoints crash |
      | single plain endpoints crash |
      | zones are lost         |

  Scenario: A deadly part that stops is freed and named again when it comes back
    When 20 fleets with deadly parts run: a part that stops and comes back
    Then each deadly part takes one trial while it is harmless
    And no VM sends it once all could know of the first crash after that
