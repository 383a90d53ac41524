Feature: Requests go to another region only where they are in time
  Guards against a region at its peak that sends requests to regions that are
  as busy, cut off or not allowed, and against VMs that open connections to
  another region for each request.

  Scenario: A region at its peak forwards only where the first event is in time
    Given a VM of north that may forward to south and west
    When south reports a wait of 900 ms and west one of 100 ms, 110 ms away
    Then requests with 500 ms left go to west
    And requests with 150 ms left are not forwarded

  Scenario: A region that never reported is tried
    Given a VM of north that may forward to south and west
    Then requests with 500 ms left go to south and west

  Scenario: A region is asked again when its report has aged
    Given a VM of north that may forward to south and west
    When south reports a wait of 900 ms and west one of 900 ms, 110 ms away
    Then requests with 500 ms left are not forwarded
    And 700 ms later requests with 500 ms left go to south and west

  Scenario Outline: A region that is cut off is left out: <sign>
    Given a VM of north that may forward to south and west
    When requests to south get no answer for 3 s while those to west do, <sign>
    Then south got at most <most> requests after the first second
    And south is asked again once it answers

    Examples:
      | sign                     | most |
      | since they are not sent  | 9    |
      | over connections kept open | 3    |

  Scenario Outline: A report that can't be read is taken as missing: <value>
    Then a response with the region load "<value>" reports nothing

    Examples:
      | value               |
      |                     |
      | 12                  |
      | -5,10               |
      | 1e3,4               |
      | 5,                  |
      | 99999999999999999999999,1 |

  Scenario Outline: Requests never leave their homes: <homes>
    Given a VM of north that may forward to south and west
    Then requests with 500 ms left and homes <homes> go to <regions>

    Examples:
      | homes       | regions |
      | north,south | south   |
      | west        | west    |

  Scenario: Requests of other regions may use less of their time
    Given a VM of north that asks for engines
    Then a forwarded request leaves more time than one of the region's callers
    And a forwarded request is not forwarded again

  Scenario: Partner VMs stay the same while VMs come and go elsewhere
    Given 89 VMs of three regions
    Then each VM forwards to 3 VMs of each other region
    And no VM is the partner of more than 12 others of a region
    And when one VM leaves only its partners replace it, by one VM each
