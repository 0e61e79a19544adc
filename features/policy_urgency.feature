Feature: Queues of different priority compete for too little room
  Entries run the real dispatcher and agents the real run guard under virtual
  time, on 4 entries and 24 targets. Of three queues the most urgent has wide
  jobs of short tasks, the least urgent long tasks. No network is used.

  Scenario: Load "one queue at 2.4 times for 6 s beside two others"
    Given the workload "surge_one" at load 1.4 for 12 s
    When the workload is played
    Then no queue is served better than a more urgent one
    And the most urgent queue is served at least 0.95 of its worth
    And no caller waits until its deadline in vain
    And no job of which a task ran is answered as not run

  Scenario: Load "all queues at 2.4 times for 10 s"
    Given the workload "surge_all" at load 1.0 for 16 s
    When the workload is played
    Then no queue is served better than a more urgent one
    And the most urgent queue is served at least 0.85 of its worth
    And at least 0.7 of the worth is served
    And every queue is served in every 2 s
    And no caller waits until its deadline in vain
    And no job of which a task ran is answered as not run
    And no job that can be done is answered as failed

  Scenario: Load "a curve from 0.8 to 2.0 of the room"
    Given the workload "surge_all" at load 3.4 for 8 s without faults
    When 0.4, 0.55, 0.7, 0.85 and 1.0 of its jobs are played
    Then the worth served never falls as the load rises

  Scenario: Load "all machines lost at 0.6 of the room and back in a second"
    Given the workload "power_loss_callers" at load 1.0 for 12 s
    When the workload is played
    Then no queue is served better than a more urgent one after 8 s
    And at least 0.7 of the worth is served in each 2 s after 8 s
    And no task ever had two runs at once

  Scenario: Failure halfway: agents and targets are lost at 2.4 times the load
    Given the workload "surge_faults" at load 1.0 for 10 s
    When the workload is played
    Then no task ever had two runs at once
    And no job of which a task ran is answered as not run
    And every job is answered by its caller's deadline

  Scenario: Rejected callers return in the order of urgency and spread out
    Given queues of priority 0 and 2, of which an entry starts 100 and 20 cores a second
    When 40 jobs of 10 cores of each are rejected at once
    Then each second from 1 to 4 s gets 4 to 16 of the urgent ones
    And the mean delay is shorter for the urgent ones
