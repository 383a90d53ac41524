Feature: Endpoints that send bytes without end
  Guards against a VM that keeps what a faulty endpoint sends until it runs out
  of memory, or that is so busy with it that other callers get no answer.

  # 200 MB is the memory of the smallest VM.
  Scenario Outline: 150 answers without end, <form>
    Given a platform fleet of 3 disk VMs and 1 entry VMs, ports seed <seed>
    And an endpoint that answers some requests without end
    When 150 callers get answers of <form> without end for 6 s
    Then each other request of that time was answered
    And the entry VM used no more than 200 MB of memory and still runs

    Examples:
      | form                          | seed |
      | chunks of 2 bytes             | 41   |
      | a stream in chunks of 2 bytes | 42   |
      | header lines of 8 bytes       | 43   |
      | a body up to the close        | 44   |
      | chunks with long extensions   | 45   |
      | interim responses             | 46   |
