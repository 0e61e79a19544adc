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

  # Guards against crashes that are taken for lost connections.
  Scenario: A task is given up though the targets that it crashes reset connections first
    Given a simulated site of 2 entries, 8 targets and a store
    And targets that crash reset connections for 0.1 s before they refuse them
    And task 0 of job "bad" crashes each target that starts it
    When durable job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 20 s pass
    Then task 0 of job "bad" was started at most 3 times
    And the store records job "bad" as failed
    And no guarantee for durable jobs is violated

  # Guards against a stored crash that counts again, as an agent reports it late.
  Scenario: A stored crash that agents report late to the next owner counts once
    Given a simulated site of 2 entries, 4 targets and a store
    And task 0 of job "a" crashes each target that starts it
    When durable job "a" of 1 tasks of 300 ms is submitted to entry 0
    And 0.3 s pass
    And task 0 of job "a" crashes no target any more
    And entry 0 is killed as the store records a crash of job "a"
    And entry 0 restarts after 0.3 s
    And messages from agents to entry 0 arrive in 2 s at the earliest
    And 20 s pass
    Then task 0 of job "a" has crashed 1 targets
    And the store records job "a" as completed
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

  # Guards against queues that stay down for good while other targets are idle.
  Scenario: Crashing tasks of several queues don't cost their good jobs for good
    Given the workload "crashing_queues" at load 1.0 for 40 s
    When seeds 1 to 3 of the workload are played
    Then at least 0.25 of the jobs that arrive from 12 to 20 s are completed
    And at least 0.25 of the jobs that arrive from 33.4 to 40 s are completed
    And at least 0.9 of the jobs of kind "long" from 12 to 20 s are completed
    And no task was started more than 3 times by crashes
    And no task ever had two runs at once

  # Guards against entries and agents that answer each other without pause while
  # jobs of a confined queue wait.
  Scenario: The agents of other queues are not probed for a confined queue's jobs
    Given a simulated site of 2 entries and 8 targets of 16 cores
    And task 0 of job "bad" crashes each target that starts it
    When job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 4 s pass
    And job "wide" of 90 tasks of 2000 ms is submitted to entry 0
    And 1.5 s pass while messages to agents are recorded
    Then fewer than 90 tasks of job "wide" have started
    And no agent outside the part of the confined queue was probed
    And messages that carry no orders keep the limits of echoes and probes

  # Guards against runs on a crashed target counting as failures of the target.
  Scenario: A target is not quarantined for the runs that its crash ended
    Given a simulated site of 1 entries and 2 targets of 16 cores
    When job "a" of 8 tasks of 1000 ms is submitted to entry 0
    And 0.3 s pass
    And target 0 crashes and restarts after 1 s
    And 0.9 s pass
    Then entry 0 has quarantined no target
    And 4 s pass
    And job "a" is completed at entry 0

  # Guards against the blame of tasks for a loss of power.
  Scenario: A task whose targets lose power one after the other is completed
    Given a simulated site of 1 entries and 5 targets of 16 cores
    When job "a" of 1 tasks of 2000 ms is submitted to entry 0
    And the target that runs job "a" loses power, 3 times 1.5 s apart
    And 8 s pass
    Then job "a" is completed at entry 0

  # Guards against the blame of tasks for the shutdown of a draining target.
  Scenario: A task whose targets drain and leave one after the other is completed
    Given a simulated site of 1 entries and 5 targets of 16 cores
    When job "a" of 1 tasks of 2000 ms is submitted to entry 0
    And the target that runs job "a" drains and leaves, 3 times 1.5 s apart
    And 8 s pass
    Then job "a" is completed at entry 0

  # Guards against jobs that are failed for crashes before their runs began.
  Scenario: A job whose starts had not begun when targets crashed is completed
    Given a simulated site of 1 entries and 5 targets of 16 cores
    When job "a" of 1 tasks of 300 ms is submitted to entry 0, whose caller waits 20 s
    And the target that is asked to start it crashes before it does, 2 times
    And 8 s pass
    Then job "a" is completed at entry 0

  # Guards against jobs that are failed for crashes which they hardly caused.
  Scenario: A job under which three targets crash by themselves is completed
    Given a simulated site of 1 entries and 5 targets of 16 cores
    When job "a" of 1 tasks of 6000 ms is submitted to entry 0, whose caller waits 30 s
    And the target that runs job "a" crashes by itself, 3 times 3.5 s apart
    And 16 s pass
    Then job "a" is completed at entry 0

  # Guards against durable jobs that are failed for crashes which they hardly
  # caused.
  Scenario: A durable job under which three targets crash by themselves is completed
    Given a simulated site of 2 entries, 5 targets and a store
    When durable job "a" of 1 tasks of 6000 ms is submitted to entry 0
    And the target that runs job "a" crashes by itself, 3 times 3.5 s apart
    And 16 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against certain crashes that only processes in memory hold.
  Scenario: The certain crashes of a durable task are stored and counted on
    Given a simulated site of 2 entries, 8 targets and a store
    And task 0 of job "bad" crashes each target that starts it
    When durable job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 1.5 s pass
    Then the store records 1 certain crashes under task 0 of job "bad"
    When all entries and agents are killed and restart after 0.5 s
    And 3 s pass
    Then the store records 2 certain crashes under task 0 of job "bad"

  # Guards against crashes that are lost, or taken as certain, in an update.
  Scenario: Crashes in rows and messages of the earlier format are possible ones
    Given a stored record and a crashed run of the format without certainty
    Then the record has its crashes, none of them certain
    And the run is not certain

  # Guards against a job of several steps that is cleared by its first step.
  Scenario: A task of a later step that crashes targets is given up
    Given a simulated site of 2 entries, 8 targets and a store
    And task 3 of job "bad" crashes each target that starts it
    When durable job "bad" with steps of 3, 4 and 2 tasks of 300 ms is submitted to entry 0
    And 20 s pass
    Then task 3 of job "bad" was started at most 3 times
    And the store records job "bad" as failed
    And no guarantee for durable jobs is violated

  # Guards against starts beyond the capacity of a target that shrinks.
  Scenario: A target whose capacity shrinks under load is not overcommitted further
    Given a simulated site of 2 entries and 2 targets of 16 cores
    When 6 jobs of 4 tasks of 800 ms are submitted at once
    And 0.3 s pass
    And the capacity of target 0 shrinks to 8 cores for 3 s
    And 0.6 s pass
    And 20 jobs of 4 tasks of 200 ms are submitted at once
    And 8 s pass
    Then no task started on target 0 beyond 8 cores while it had shrunk
    And every job got a response

  # Guards against operators not finding the task behind crashes of targets.
  Scenario: Operators list which task and queue crashed which targets
    Given a simulated site of 2 entries and 8 targets of 16 cores
    And task 0 of job "bad" crashes each target that starts it
    When job "bad" of 4 tasks of 300 ms is submitted to entry 0
    And 6 s pass
    Then fulmar-crashes lists 2 crashes by task "bad.0.0.0" of queue "quick" at entry 1

  # Guards against entries that spend their processor time on the causes of
  # crashes, and so read changes of the configuration late.
  Scenario: Finding the causes of a minute of crashes leaves an entry its processor
    When 2 crashes a second with 25 runs each are reported for 61 s
    Then finding their causes took at most 0.044 s of processor time in the last second

  # Guards against broken guarantees where crashing tasks meet other faults.
  Scenario: Random faults beside tasks that crash targets violate no guarantee
    When random faults with seeds 1 to 15 are injected beside crashing tasks
    Then no simulated site violated a guarantee for durable jobs
    And every accepted job of the simulated sites has ended
