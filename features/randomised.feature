Feature: Long randomised runs of the decision code under virtual time
  Messages are delayed, lost and cut off; nodes are killed, frozen,
  restarted and leave; the table is down, slow or loses answers; operators
  race; all at once. One seed replays one run.

  Scenario Outline: Every rule holds with <profile> faults
    When seeds <first> to <last> run with "<profile>" faults
    Then no rule is broken in any run
    And after healing every run serves new submissions

    Examples:
      | profile   | first | last |
      | mixed     | 0     | 159  |
      | ownership | 0     | 59   |
      | closures  | 0     | 59   |
