Feature: Stand-ins do not get in each other's way

  Scenario: A stand-in's port is none that the system gives to other sockets
    When 500 ports are picked for stand-ins
    Then all of them differ
    And the system would give none of them to another socket

  Scenario: A port that is taken is passed over
    Given the next port is taken
    When 1 ports are picked for stand-ins
    Then it is not the taken one
