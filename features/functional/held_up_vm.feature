Feature: A VM that was held up does not blame others for it
  Guards against timeouts that expire because the VM itself did not run: a sound
  endpoint or VM is then backed off, and requests are refused although it
  accepted the connection, or answered, in time.

  Scenario Outline: A connection that was accepted is used, whenever the VM is held up
    Given the <loop> event loop and a connection pool
    When the VM is held up for each of 0.1, 0.45 s at each turn while it connects
    Then each attempt has a connection

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  Scenario Outline: A reply that arrived is read, whenever the VM is held up
    Given the <loop> event loop and a VM that answers calls
    When the caller is held up for each of 0.1, 0.45 s at each turn of a call of 200 ms
    Then each call has its reply

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  Scenario Outline: A peer that is silent is given up in time
    Given the <loop> event loop and a peer that accepts nothing
    Then connecting to it and calling it fail within 1 s

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  Scenario Outline: Requests are served, whenever the VMs are held up: <way>, <prefix>
    Given a fleet where requests are served by <way>
    When its VMs are held up for 0.45 s at each turn of a request on <prefix>
    Then each request is served

    Examples:
      | way        | prefix   |
      | one VM     | /once/   |
      | one VM     | /stream/ |
      | another VM | /once/   |
      | another VM | /stream/ |
