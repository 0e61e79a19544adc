Feature: Tasks that crash targets, under virtual time
  Entries run the real dispatcher and agents the real run guard. A task that
  crashes its target does so on every target that starts it. A target is up
  again after 3.3 s.

  # Guards against the endless restarts of a task that crashes its targets.
  Scenario: A task that crashes targets is given up after at most three of them
    Given a simulated site of 2 entries and 8 targets of 16 cores
    And task 0 of job "bad" crashes each target that starts it
    When job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 12 s pass
    Then task 0 of job "bad" was started at most 3 times
    And job "bad" is failed at entry 0

  # Guards against the loss of the count of crashes with the entry that had it.
  Scenario: The crashes of a task count at the next entry after the first is killed
    Given a simulated site of 2 entries and 8 targets of 16 cores
    And task 0 of job "bad" crashes each target that starts it
    When job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 1.5 s pass
    And entry 0 is killed
    And 1.3 s pass
    And job "bad" of 4 tasks of 300 ms is submitted to entry 1
    And 12 s pass
    Then task 0 of job "bad" was started at most 3 times
    And job "bad" is failed at entry 1

  # Guards against the endless restarts of a durable task that crashes targets.
  Scenario: A durable task that crashes targets is given up after at most three of them
    Given a simulated site of 2 entries, 8 targets and a store
    And task 0 of job "bad" crashes each target that starts it
    When durable job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 20 s pass
    Then task 0 of job "bad" was started at most 3 times
    And the store records job "bad" as failed
    And no guarantee for durable jobs is violated

  # Guards against a count of crashes that only processes in memory hold.
  Scenario: The crashes of a durable task count after a loss of all machines
    Given a simulated site of 2 entries, 8 targets and a store
    And task 0 of job "bad" crashes each target that starts it
    When durable job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 0.95 s pass
    And all entries and agents are killed and restart after 0.5 s
    And 6 s pass
    And all entries and agents are killed and restart after 0.5 s
    And 20 s pass
    Then task 0 of job "bad" was started at most 4 times
    And the store records job "bad" as failed
    And no guarantee for durable jobs is violated

  # Guards against the loss of the whole fleet to the crashes of one queue.
  Scenario: One queue's crashing tasks leave the other queues their targets
    Given the workload "crashing_tasks" at load 1.0 for 20 s
    When seeds 1 to 3 of the workload are played
    Then at least 0.9 of the worth of kinds "long" and "pair" is served
    And no task was started more than 3 times by crashes
    And no job that can be done is answered as failed
    And no task ever had two runs at once
