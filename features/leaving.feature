Feature: Targets that announce their end
  A draining target reports how long it still serves. Runs that it can't end by
  then are restarted elsewhere, once their end is confirmed.

  Scenario Outline: Pattern "notice": <targets> targets leave 2.2 s after it under load
    Given the workload "<workload>" at load <load> for 30 s
    When the workload is played
    Then no run ends with a target that gave notice
    And a target that gave notice starts no task
    And no task ever had two runs at once
    And at least 0.9 of the worth is served

    Examples:
      | targets | workload        | load |
      | equal   | leaving         | 1.3  |
      | unequal | leaving_unequal | 1.2  |

  Scenario Outline: Pattern "notice": agents, entries and links fail during it
    Given the workload "leaving_faults" at load 1.0 for 20 s
    When seeds <first> to <last> of the workload are played
    Then no task ever had two runs at once

    Examples:
      | first | last |
      | 1     | 2    |

  Scenario Outline: A heartbeat with an odd time is used without it
    When a draining target sends a heartbeat with the remaining time <value>
    Then its state is known and <known>

    Examples:
      | value             | known              |
      | 2200              | it leaves in 2.2 s |
      | 2.2e3             | it leaves in 2.2 s |
      | 9e15              | it leaves in an hour |
      | 1e999             | its end is unknown |
      | -5                | its end is unknown |
      | true              | its end is unknown |
      | "2200"            | its end is unknown |
      | [[[[2200]]]]      | its end is unknown |
      | null              | its end is unknown |

  Scenario: Old and new processes read each other's reports of targets
    Then a report without times can be read
    And a report with times can be read by a process that knows none
