Feature: Long simulations of the decision code with random faults
  Under virtual time, messages are delayed and lost and nodes are partitioned,
  killed, paused, restarted and shut down gracefully. The table is down, slow
  or loses responses, and operators make conflicting changes. Faults overlap.
  A seed reproduces a simulation exactly.

  Scenario Outline: All invariants hold with <profile> faults
    When seeds <first> to <last> are simulated with "<profile>" faults
    Then no simulation violates an invariant
    And after the faults end at least half of the probes are done in every simulation

    Examples:
      | profile   | first | last |
      | mixed     | 0     | 159  |
      | ownership | 0     | 59   |
      | closures  | 0     | 59   |
