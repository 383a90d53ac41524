Feature: A fleet on the platform as real processes
  Guards against components that work alone but not together: bootstrap from
  seeds, configurations, registrations, address look-ups, requests, shutdowns
  and restarts, all over sockets and without the users' test bench.

  Scenario: A request goes through and what was accepted survives
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 1
    When an operator sends configuration 7 to the second disk VM
    And an endpoint registers at the third disk VM
    Then every disk VM reads configuration 7 back as it was sent
    And the address look-up names both entry VMs
    And a request through each entry VM is run by the endpoint
    And an invalid configuration 9 is refused and configuration 5 changes nothing
    When all disk VMs are killed and started again
    Then every disk VM reads configuration 7 back as it was sent
    And a request through each entry VM is run by the endpoint
    And each process logged its start as JSON and serves metrics

  Scenario: A stop cuts nothing, and a draining endpoint gets nothing
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 2
    When an operator sends configuration 7 to the first disk VM
    And an endpoint registers at the first disk VM
    And the first entry VM is stopped while a request of 1 s runs
    Then that request is answered completely and the VM exits with code 0
    And the address look-up names the other entry VM only
    When the endpoint reports that it is draining
    Then within 3 s requests are refused and not run

  Scenario: A disk that was lost is filled again and bears the next loss
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 3
    When an operator sends configuration 7 to the first disk VM
    And the disk of the first disk VM is lost
    And an operator sends configuration 8 to the second disk VM
    And the second disk VM is killed and not restarted
    Then the other disk VMs read configuration 8 back as it was sent

  Scenario: A reload during the start does not end a VM
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 4
    When the first entry VM is killed and reloads while it starts again
    And an operator sends configuration 7 to the second disk VM
    And an endpoint registers at the third disk VM
    Then a request through each entry VM is run by the endpoint

  Scenario: A request taken long after SIGTERM is not given up
    Given a platform fleet of 3 disk VMs and 2 entry VMs, ports seed 5
    When an operator sends configuration 7 to the first disk VM
    And an endpoint registers at the first disk VM
    And callers of 3 s requests use the first entry VM until it is gone
    Then each request sent over 3 s after its SIGTERM is answered or refused as not run
    And a refusal comes at once and tells the caller to close and try another VM
