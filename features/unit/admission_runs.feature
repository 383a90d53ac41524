Feature: Admission queues
  Guards against a customer that starves the others, batch requests that delay
  interactive ones, and queues that grow without bound or refuse too early.

  Scenario: Customers with a backlog get equal service
    When admission serves 5 customers, one with ten times the requests, from seed 1
    Then admission served any two customers with a backlog within twice the largest request

  Scenario: A burst of one customer delays the others by one turn each
    When admission serves 5 customers, one with ten times the requests, from seed 1
    Then admission let no request of the others wait for more than 10 placements

  Scenario: The admission check detects a queue without fairness
    When admission serves 5 customers without fairness from seed 1
    Then admission let a request of the others wait for more than 10 placements

  Scenario: Batch requests never overtake interactive ones
    When admission places batch and interactive work at random from seed 2
    Then admission placed no batch request while interactive work waited

  Scenario: The admission check detects a queue that serves batch first
    When admission places batch work first from seed 2
    Then admission placed a batch request while interactive work waited

  Scenario: Batch requests leave a share of each endpoint free
    Then admission keeps three of eight slots free of batch work

  Scenario: The queue is bounded and refuses requests as not executed
    Then admission refuses a customer that holds half of the places
    And admission still accepts another customer
    And admission refuses bytes beyond its bound

  Scenario: Only a request whose deadline can't be met is refused early
    Then admission refuses a request that would wait beyond its deadline
    And admission accepts a request that would wait within its deadline
    And admission expires a request at its deadline as not run
