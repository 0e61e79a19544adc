Feature: Dispatch under load and faults, under virtual time
  Entries run the real dispatcher and agents the real run guard, on 3 entries
  and 11 targets of unequal size. Jobs have run times and demands of their own
  and declare wrong run times. Callers judge answers by their objective.

  Scenario: Pattern "unanswered orders": throughput at 0.9 of the capacity
    Given the workload "unanswered" at load 1.5 for 14 s
    When the workload is played
    And the same jobs are played without faults
    Then at most 0.03 less of the jobs are served than without faults
    And a task whose start got no response starts again within 40 ms in the median
    And no task ever had two runs at once

  Scenario Outline: Pattern "late orders": <faults>
    Given the workload "late_orders" at load 0.8 for 20 s
    When seeds <first> to <last> of the workload are played
    Then no task ever had two runs at once

    Examples:
      | faults                              | first | last |
      | with lost agents, entries, targets  | 1     | 4    |

  Scenario: Pattern "begun and late": a job that runs in part goes before later ones
    Given a simulated site of 1 entries and 1 targets of 48 cores
    When job "first" of 4 tasks of 800 ms is submitted to entry 0
    And job "begun" of 28 tasks of 1000 ms is submitted to entry 0
    And 0.7 s pass
    And job "later" of 4 tasks of 700 ms is submitted to entry 0
    And 4 s pass
    Then the last task of job "begun" starts before the first of job "later"

  Scenario: Pattern "wrong estimates": declared run times that say nothing are not trusted
    Given 400 runs of about 0.5 s whose callers declared 0.1 to 2.5 s at random
    Then a declared run time of 2.0 s is taken for 0.4 to 0.65 s

  Scenario: Pattern "wrong estimates": declared run times that are exact are trusted
    Given 400 runs of half the declared run time
    Then a declared run time of 2.0 s is taken for 0.9 to 1.1 s

  Scenario: Pattern "slow targets": they only get trial runs
    Given the workload "slow" at load 1.3 for 10 s
    When the workload is played
    Then slow targets start at most 2 tasks a second and entry from 4 to 8 s
    And at least 0.9 of the worth is served
