Feature: Answers that endpoints break off, after each byte
  Guards against an answer that its endpoint broke off and that reaches its
  caller framed as complete.  An answer without length and chunks whose
  connection ends normally after a whole event can't be told from a whole one.

  Scenario Outline: A broken stream is complete for its caller only where it was: <way>, <ends>, <type>
    Given a fleet where requests are served by <way>
    When a stream with <ends> and <type> is cut after each byte
    Then a response is complete only where the answer was

    Examples:
      | way        | ends | type              |
      | one VM     | LF   | text/event-stream |
      | one VM     | CRLF | text/event-stream |
      | one VM     | CR   | text/event-stream |
      | one VM     | LF   | no type           |
      | one VM     | CRLF | no type           |
      | one VM     | CR   | no type           |
      | another VM | LF   | text/event-stream |
      | another VM | CRLF | text/event-stream |
      | another VM | CR   | text/event-stream |
      | another VM | LF   | no type           |
      | another VM | CRLF | no type           |
      | another VM | CR   | no type           |

  Scenario Outline: A stream that ends inside an event is not complete, however it is framed: <way>, <ends>, <type>
    Given a fleet where requests are served by <way>
    When a stream with <ends> and <type> is cut and framed as whole
    Then a response is complete only where the answer was

    Examples:
      | way        | ends | type              |
      | one VM     | LF   | text/event-stream |
      | one VM     | CRLF | text/event-stream |
      | one VM     | CR   | text/event-stream |
      | another VM | CRLF | text/event-stream |
      | one VM     | LF   | no type           |
      | one VM     | CRLF | no type           |
      | one VM     | CR   | no type           |
      | another VM | LF   | no type           |

  Scenario Outline: An answer whose head is cut is never a success: <way>, <prefix>
    Given a fleet where requests are served by <way>
    When the head of an answer on <prefix> is cut after each byte
    Then no response has the status 200
    And a response is complete only where the answer was

    Examples:
      | way        | prefix   |
      | one VM     | /once/   |
      | one VM     | /many/   |
      | one VM     | /stream/ |
      | another VM | /once/   |
      | another VM | /many/   |
      | another VM | /stream/ |

  Scenario Outline: A plain answer that is cut is complete only where it was: <way>, <prefix>
    Given a fleet where requests are served by <way>
    When a plain answer on <prefix> is cut after each byte
    Then a response is complete only where the answer was

    Examples:
      | way        | prefix |
      | one VM     | /once/ |
      | one VM     | /many/ |
      | another VM | /once/ |
      | another VM | /many/ |

  Scenario Outline: The length of an answer counts, however it is spelled: <way>, <prefix>
    Given a fleet where requests are served by <way>
    When an answer on <prefix> spells its framing unusually and is cut
    Then a response is complete only where the answer was

    Examples:
      | way        | prefix   |
      | one VM     | /once/   |
      | one VM     | /stream/ |
      | another VM | /once/   |

  Scenario Outline: A stream whose endpoint falls silent is not complete: <way>
    Given a fleet where requests are served by <way>
    When the endpoint falls silent after each byte of a stream
    Then a response is complete only where the answer was

    Examples:
      | way        |
      | one VM     |
      | another VM |
