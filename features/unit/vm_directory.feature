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
