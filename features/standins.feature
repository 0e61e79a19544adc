Feature: Ports of stand-ins do not collide

  Scenario: Ports for stand-ins are below the kernel's ephemeral port range
    When 500 ports are picked for stand-ins
    Then all of them differ
    And all of them are below the kernel's ephemeral port range

  Scenario: A port that is in use is skipped
    Given the next port to be picked is in use
    When 1 ports are picked for stand-ins
    Then it is not the port in use
