Feature: Where the events of a stream end
  Guards against a long answer that is taken for one that had not begun, so
  that the crash of its endpoint is blamed on its prompt, and against a part of
  an event that is taken for proof that a prompt is harmless.

  Scenario Outline: After <blocks> an event is whole: <whole>, and one is begun: <begun>
    Given the blocks <blocks> of a stream
    Then an event is whole: <whole>
    And the stream ends inside an event: <begun>

    Examples:
      | blocks                      | whole | begun |
      | nothing                     | no    | no    |
      | id: 1\n                     | no    | yes   |
      | \n\n                        | no    | no    |
      | id: 1\ndata: x\n\nid: 2     | yes   | yes   |
      | id: 1\ndata: x\r\n\r\n      | yes   | no    |
      | id: 1\ndata: x\n + \nid: 2  | yes   | yes   |
      | id: 1\r\n\r + \n            | yes   | no    |
      | id: 1\r\n\r               | no    | yes   |
      | id: 1\r + \n\r             | no    | yes   |
      | id: 1\r + \r              | yes   | no    |
      | id: 1\n\nid: 2\n\r         | yes   | yes   |
