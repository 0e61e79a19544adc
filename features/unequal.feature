Feature: Targets of unequal speed, under virtual time
  An entry learns the speeds of its targets from tasks that are alike, uses a
  target for what it ends in time, and tells a slow target from a faulty one.

  Scenario: Pattern "unequal targets": sound slow targets keep their runs
    Given the workload "unequal" at load 1.3 for 14 s
    When the workload is played
    Then at most 0.005 of the work is thrown away
    And at least 0.95 of the worth is served
    And no task ever had two runs at once

  Scenario: Pattern "unequal targets": long tasks go to targets that end them in time
    Given the workload "unequal" at load 1.0 for 14 s
    When the workload is played
    Then at most 0.05 of the tasks of "long" jobs start on the slowest targets from 4 s on

  Scenario: Pattern "unequal targets": a faulty one only gets trial runs
    Given the workload "unequal_slow" at load 1.2 for 14 s
    When the workload is played
    Then slow targets start at most 2 tasks a second and entry from 9 to 13 s
    And at least 0.9 of the worth is served

  Scenario: Pattern "unequal targets": entries are restarted while they learn
    Given the workload "unequal_restart" at load 1.2 for 14 s
    When the workload is played
    Then no task ever had two runs at once
    And every entry knows the speeds of its targets

  Scenario: Targets of equal speed count as such, also while some are faulty
    Given the workload "slow" at load 1.3 for 10 s
    When the workload is played
    Then no entry takes its targets for unequal

  Scenario: Wrong declared run times do not change the learned speeds
    Given 8 targets with speeds 0.6, 1.0 and 1.6 in turn
    When 200 steps of 4 tasks end, whatever their callers declared
    Then the learned speeds are within 0.15 of the real ones

  Scenario: A target that comes back counts as its kind until it has run tasks
    Given 8 targets with speeds 0.6, 1.0 and 1.6 in turn
    When 200 steps of 4 tasks end, whatever their callers declared
    And target 0 comes back as another incarnation
    Then the speed of target 0 is within 0.15 of 0.6
