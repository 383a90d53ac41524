Feature: Where the directory sends callers
  Guards against callers that are led out of the home regions of a route while
  the entry VMs of their own region restart.

  Scenario: Each set of regions whose entry VMs are live or stopping
    Given routes of a host with homes "tunis" and "tunis"
    Then callers with neither live there get stopping VMs of tunis or of their own region

  Scenario: Each set of regions that have live entry VMs
    Given routes of a host with homes "tunis,sfax" and "sfax,sousse"
    Then callers of that host get their own region, else sfax, else any region

  Scenario: Routes of a host without a common home
    Given routes of a host with homes "tunis" and "sousse"
    Then callers of that host get their own region, else tunis or sousse, else any region

  Scenario: Routes without homes
    Given routes of a host with homes "" and ""
    Then callers of that host get their own region, else any region

  Scenario: Entry VMs that differ are listed in proportion to what they carry
    Given entry VMs of a region with capacities 100, 100, 50, 30 and 258
    When a caller resolves the host in each of 4000 seconds
    Then a VM is picked in proportion to its capacity, within a fifth
    And the largest VM is always listed

  Scenario: Entry VMs that are alike are always listed
    Given entry VMs of a region with capacities 77, 77 and 77
    When a caller resolves the host in each of 50 seconds
    Then all VMs are always listed

  Scenario: Entry VMs whose capacity is not known are always listed
    Given entry VMs of a region with capacities 0, 0 and 100
    When a caller resolves the host in each of 50 seconds
    Then all VMs are always listed

  Scenario Outline: What a VM carries follows from its scarcest limit: <limits>
    Then a settings file with the limits <limits> states a capacity of <capacity>

    Examples:
      | limits                                                            | capacity |
      | {"cpuShare":0.516,"memoryMb":200,"maxFds":4100,"linkMbps":5}      | 100      |
      | {"cpuShare":0.387,"memoryMb":440,"maxFds":10250,"linkMbps":12.5}  | 77       |
      | {"cpuShare":0.645,"cores":2,"memoryMb":440,"maxFds":1638,"linkMbps":12.5} | 39 |
      | {"memoryMb":null}                                                 | 0        |
      | {}                                                                | 0        |
