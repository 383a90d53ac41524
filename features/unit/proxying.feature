Feature: Decisions about requests of a deployment
  Guards against requests that take a wrong route or count for a wrong
  customer, against deployments replaced by older versions, and against
  endpoints that are used after they left, above their cold rate limit, or at
  an address that another endpoint has taken over.

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

  Scenario: Home regions of route and customer both apply
    Then a route with home regions tunis,sfax and a customer with home regions sfax,sousse allow sfax
    And a route with home region tunis and a customer without home region allow tunis
    And a route and a customer without home regions allow all regions

  Scenario: A deployment is never replaced by an older version
    Given a fleet that holds deployment version 7
    Then version 5 and another text under version 7 change nothing
    And version 9 is in force after it is installed

  Scenario Outline: An invalid deployment is refused: <fault>
    Given a fleet that holds deployment version 7
    Then a deployment with <fault> is refused and version 7 stays

    Examples:
      | fault            |
      | unknown service  |
      | same path prefix |
      | no weight        |
      | no time-out      |
      | shared key       |

  Scenario: A zone is evacuated and restored
    Given a fleet that holds deployment version 7
    When zone "sfax-a" is evacuated twice
    Then the evacuated zones are "sfax-a"
    When zone "sfax-a" is restored
    Then the evacuated zones are ""

  Scenario: A late heartbeat of an earlier incarnation is ignored
    Given an endpoint table with endpoint "i-1" of incarnation 2 at sequence 5
    Then the endpoint table ignores endpoint "i-1" of incarnation 1 at sequence 9
    And the endpoint table ignores endpoint "i-1" of incarnation 2 at sequence 4
    And the endpoint table takes endpoint "i-1" of incarnation 3 at sequence 1

  Scenario: An endpoint that left is ignored until it restarts
    Given an endpoint table with endpoint "i-1" of incarnation 2 at sequence 5
    When endpoint "i-1" leaves the endpoint table
    Then the endpoint table ignores endpoint "i-1" of incarnation 2 at sequence 6
    And the endpoint table takes endpoint "i-1" of incarnation 3 at sequence 1

  Scenario: An address belongs to the endpoint that started there last
    Given an endpoint table with endpoint "i-1" of incarnation 2 at sequence 5
    When endpoint "i-2" of incarnation 3 registers at the address of "i-1"
    Then the endpoint table holds only "i-2"
    And the endpoint table ignores endpoint "i-1" of incarnation 2 at sequence 9

  Scenario: Endpoints of a restored zone count as cold
    Given an endpoint table with endpoint "i-1" of incarnation 2 at sequence 5
    When the endpoint table marks the zone of "i-1" as cold until 4000 ms
    Then endpoint "i-1" is cold until 4000 ms
    When endpoint "i-1" of incarnation 2 registers at sequence 6 with 0 ms cold
    Then endpoint "i-1" is cold until 4000 ms

  Scenario: All VMs together keep the rate limit of a cold endpoint
    Given 9 VMs of a region that limit a cold endpoint to 5 requests a second
    Then in 10 s no window of 1 s holds more than 5 requests of all VMs
    And in 10 s the endpoint gets at least 20 requests

  Scenario Outline: Retries of <vms> VMs together stay within a share of the requests
    Given <vms> VMs that retry every failed request
    Then of <requests> failing requests at most 12 in 100 are retried

    Examples:
      | vms | requests |
      | 9   | 5000     |
      | 80  | 1000     |

  Scenario Outline: A request that may have run is never reported as not executed
    Given a request that may be sent 2 times and is <kind>
    When its attempts end with <ends>
    Then it is refused as executed <executed> and may be retried: <again>

    Examples:
      | kind           | ends              | executed | again |
      | repeatable     | not_executed      | no       | yes   |
      | not repeatable | not_executed      | no       | yes   |
      | not repeatable | lost              | unknown  | no    |
      | repeatable     | lost              | unknown  | yes   |
      | repeatable     | lost,not_executed | unknown  | no    |
      | repeatable     | not_sent,not_sent | no       | yes   |
      | repeatable     | timed_out         | unknown  | no    |

  Scenario: Only the sessions of a removed region move
    Given the regions tunis:3 sfax:2 sousse:1 and 3000 sessions
    Then each region keeps its share of the sessions within 4 in 100
    And without sousse only the sessions of sousse move

  Scenario: A region that refused is skipped for that urgency only
    Given a region that refused urgency 1 at 1000 ms
    Then at 1100 ms the region is chosen for urgency 0 but not for 1
    And at 1300 ms the region is chosen for urgency 1

  Scenario: Only the VM that can't be reached is skipped, and never the only allowed region
    Given a region that refused urgency 1 at 1000 ms
    Then at 1100 ms the region is chosen for urgency 1 if no other may serve
    When its VM can't be reached at 1100 ms
    Then at 1200 ms another VM of the region is chosen for urgency 0

  Scenario: Disk VMs stand in for the entry VMs of their region
    Given a region with 2 entry VMs and 1 disk VM
    Then its entry VMs forward requests to its endpoints
    When both entry VMs restart
    Then its disk VM forwards requests to its endpoints
