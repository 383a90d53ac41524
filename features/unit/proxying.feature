Feature: Decisions about requests of a deployment
  Guards against requests on a wrong route or for a wrong customer, against
  deployments that go back, and against endpoints that are used after they
  left, while cold, or at an address that is another's now.

  Scenario: The longest prefix of the path decides the route
    Given a deployment with the prefixes /a/ /a/b/ /c/
    Then path "/a/b/1" takes the route of prefix "/a/b/"
    And path "/a/x" takes the route of prefix "/a/"
    And path "/d/" takes no route

  Scenario: A key decides the customer and nothing else does
    Given a deployment with the prefixes /a/ /b/
    Then key "key-one" belongs to customer "one" on path "/a/x"
    And an unknown key and a missing key are refused on path "/a/x"

  Scenario: The shares of a split route follow its weights
    Given a route split 90 to 10 between two services
    Then of 4000 request ids between 350 and 450 take the smaller share
    And one request id always takes the same service

  Scenario: Homes of route and customer both bind
    Then a route at home in tunis,sfax and a customer in sfax,sousse leave sfax
    And a route at home in tunis and a customer at home nowhere leave tunis
    And a route and a customer without homes leave all regions

  Scenario: A deployment never goes back
    Given a fleet that holds deployment version 7
    Then version 5 and another text under version 7 change nothing
    And version 9 is in force after it is installed

  Scenario Outline: An invalid deployment is refused: <fault>
    Given a fleet that holds deployment version 7
    Then a deployment with <fault> is refused and version 7 stays

    Examples:
      | fault           |
      | unknown service |
      | same place      |
      | no weight       |
      | no time-out     |
      | shared key      |

  Scenario: A zone is evacuated and taken back
    Given a fleet that holds deployment version 7
    When zone "sfax-a" is evacuated twice
    Then the evacuated zones are "sfax-a"
    When zone "sfax-a" is taken back
    Then the evacuated zones are ""

  Scenario: A late heartbeat of an earlier life is without effect
    Given an endpoint book with endpoint "i-1" of life 2 at sequence 5
    Then the endpoint book ignores endpoint "i-1" of life 1 at sequence 9
    And the endpoint book ignores endpoint "i-1" of life 2 at sequence 4
    And the endpoint book takes endpoint "i-1" of life 3 at sequence 1

  Scenario: An endpoint that left stays away until it starts anew
    Given an endpoint book with endpoint "i-1" of life 2 at sequence 5
    When endpoint "i-1" leaves the endpoint book
    Then the endpoint book ignores endpoint "i-1" of life 2 at sequence 6
    And the endpoint book takes endpoint "i-1" of life 3 at sequence 1

  Scenario: An address belongs to the endpoint that started there last
    Given an endpoint book with endpoint "i-1" of life 2 at sequence 5
    When endpoint "i-2" of life 3 registers at the address of "i-1"
    Then the endpoint book holds only "i-2"
    And the endpoint book ignores endpoint "i-1" of life 2 at sequence 9

  Scenario: Endpoints of a zone taken back count as cold
    Given an endpoint book with endpoint "i-1" of life 2 at sequence 5
    When the endpoint book chills the zone of "i-1" until 4000 ms
    Then endpoint "i-1" is cold until 4000 ms
    When endpoint "i-1" of life 2 registers at sequence 6 with 0 ms cold
    Then endpoint "i-1" is cold until 4000 ms

  Scenario: VMs together keep the pace of a cold endpoint
    Given 9 VMs of a region that pace a cold endpoint at 5 a second
    Then in 10 s no window of 1 s holds more than 5 requests of all VMs
    And in 10 s the endpoint gets at least 20 requests

  Scenario Outline: Repeats of <vms> VMs together stay a share of the requests
    Given <vms> VMs that repeat whatever fails
    Then of <requests> failing requests at most 12 in 100 are repeated

    Examples:
      | vms | requests |
      | 9   | 5000     |
      | 80  | 1000     |

  Scenario Outline: What may have run is never said not to have run
    Given a request that may be sent 2 times and is <kind>
    When its attempts end with <ends>
    Then it is refused as executed <executed> and may be sent on: <again>

    Examples:
      | kind           | ends                    | executed | again |
      | repeatable     | not_executed            | no       | yes   |
      | not repeatable | not_executed            | no       | yes   |
      | not repeatable | lost                    | unknown  | no    |
      | repeatable     | lost                    | unknown  | yes   |
      | repeatable     | lost,not_executed       | unknown  | no    |
      | repeatable     | not_sent,not_sent       | no       | yes   |
      | repeatable     | timed_out               | unknown  | no    |

  Scenario: Sessions move only with the region that goes
    Given the regions tunis:3 sfax:2 sousse:1 and 3000 sessions
    Then each region keeps its share of the sessions within 4 in 100
    And without sousse only the sessions of sousse move

  Scenario: A region that refused rests for its urgency only
    Given a region that refused urgency 1 at 1000 ms
    Then at 1100 ms the region is chosen for urgency 0 but not for 1
    And at 1300 ms the region is chosen for urgency 1

  Scenario: Only the VM that can't be reached rests, and never the only region
    Given a region that refused urgency 1 at 1000 ms
    Then at 1100 ms the region is chosen for urgency 1 if no other may serve
    When its VM can't be reached at 1100 ms
    Then at 1200 ms another VM of the region is chosen for urgency 0

  Scenario: Disk VMs stand in for the entry VMs of their region
    Given a region with 2 entry VMs and 1 disk VM
    Then its entry VMs pass requests to its endpoints
    When both entry VMs restart
    Then its disk VM passes requests to its endpoints
