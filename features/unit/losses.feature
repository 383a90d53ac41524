Feature: What became of the requests in each second
  Guards against a table that counts a loss under another cause, or not at all.

  Scenario Outline: Each way in which a request ends: <loss>
    Given logs in which a request <way>
    Then the request is counted as "<loss>" in its second

    Examples:
      | way                                             | loss                    |
      | is answered within its target                   | in time                 |
      | is refused while another region takes requests  | refused, room elsewhere |
      | is refused while its own region takes requests  | refused                 |
      | is refused and nobody takes requests            | refused                 |
      | fails at an endpoint                            | failed                  |
      | is broken off                                   | broken off              |
      | has no end                                      | unfinished              |
      | waits long and is answered late                 | late, waited            |
      | is sent twice and is answered late              | late, retried           |
      | is placed at once and is answered late          | late at endpoint        |

  Scenario: Requests above the rate are not owed
    Given logs in which a request is above its rate
    Then no request is counted

  Scenario: The command prints seconds, routes and reasons of the recorded logs
    Then the losses of the recorded logs name "endpoint_failed" once
