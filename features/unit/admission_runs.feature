Feature: Admission queues
  Guards against a customer that crowds out the others, batch work that delays
  interactive work, and queues that grow without bound or refuse too early.

  Scenario: Customers with a backlog are served alike
    When admission serves 5 customers, one with ten times the requests, from seed 1
    Then admission served any two customers with a backlog within twice the largest request

  Scenario: A surge of one customer delays the others by one turn each
    When admission serves 5 customers, one with ten times the requests, from seed 1
    Then admission let no request of the others wait for more than 10 placements

  Scenario: The admission check catches a queue without fairness
    When admission serves 5 customers without fairness from seed 1
    Then admission let a request of the others wait for more than 10 placements

  Scenario: Batch work never overtakes interactive work
    When admission places batch and interactive work at random from seed 2
    Then admission placed no batch request while interactive work waited

  Scenario: The admission check catches a queue that serves batch work first
    When admission places batch work first from seed 2
    Then admission placed a batch request while interactive work waited

  Scenario: Batch work leaves a part of each endpoint free
    Then admission keeps three of eight slots free of batch work

  Scenario: The queue is bounded and refuses as not run
    Then admission refuses a customer that holds half of the places
    And admission still accepts another customer
    And admission refuses bytes beyond its bound

  Scenario: A deadline that can't be met is refused early, one that can is not
    Then admission refuses a request that would wait beyond its deadline
    And admission accepts a request that would wait within its deadline
    And admission expires a request at its deadline as not run
