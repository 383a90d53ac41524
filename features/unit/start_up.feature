Feature: Start of the platform's program
  Guards against pauses of a VM that searches all imported code for garbage, in
  which no request is served.

  Scenario: The garbage collector leaves out what the imports made
    When the program of the platform has imported its code and finds no settings
    Then its collector is on and leaves out more than 20000 objects
