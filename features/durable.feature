Feature: Durable jobs, under virtual time
  A durable job is stored before it is accepted. Entries and agents run the
  real code on simulated targets and a simulated store. The guarantees are
  violated by two runs of a task at once, an overcommitted target, a refused
  job that was started, an accepted job that was lost, a job that is completed
  before its tasks, and a run that starts after the acknowledged completion of
  its task.

  Modes in which the store fails:
    refuses: it rejects each call and changes nothing
    silent:  it neither responds nor changes anything
    loses:   it applies each call, and every second response is lost
    late:    it does not respond and applies each call 2 s later

  Scenario: A durable job is accepted once it is stored, and then run to completion
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 4 tasks of 300 ms is submitted to entry 0
    And 0.05 s pass
    Then the caller of job "a" got the outcome stored
    And 2 s pass
    And the store records job "a" as completed
    And no guarantee for durable jobs is violated
    And the agents have no runs and no unacknowledged completions

  # Guards against ends that a restarted target forgets before they were read,
  # by a position in the list of its former incarnation.
  Scenario: A target that restarts while idle forgets no end that was not read
    Given a simulated site of 1 entries, 1 targets and a store
    When durable job "a" of 6 tasks of 100 ms is submitted to entry 0
    And 0.4 s pass
    And target 0 crashes and restarts after 0.05 s
    And 0.06 s pass
    And durable job "b" of 3 tasks of 100 ms is submitted to entry 0
    And 5 s pass
    Then the store records job "b" as completed
    And no guarantee for durable jobs is violated

  # Guards against the same, in restarts at random.
  Scenario: Targets that restart within a moment forget no end that was not read
    When targets restart at random, with seeds 1 to 6, under short durable jobs
    Then no simulated site violated a guarantee for durable jobs

  Scenario: The steps of a durable job run in sequence
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" with steps of 3, 2 and 4 tasks of 200 ms is submitted to entry 0
    And 4 s pass
    Then the store records job "a" as completed
    And 9 runs were started
    And no guarantee for durable jobs is violated

  Scenario: A durable job of one step takes two store transactions
    Given a simulated site of 1 entries, 3 targets and a store
    When durable job "a" of 8 tasks of 120 ms is submitted to entry 0
    And 3 s pass
    Then the store records job "a" as completed
    And the job record was written in 2 transactions

  Scenario: A restarted owner resumes its durable jobs
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 8 tasks of 1500 ms is submitted to entry 0
    And 0.5 s pass
    And entry 0 is killed and restarts after 1.0 s
    And 12 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated
    And the agents have no runs and no unacknowledged completions

  Scenario: Another entry takes over the durable jobs of a lost owner
    Given a simulated site of 3 entries, 3 targets and a store
    When durable job "a" of 8 tasks of 1500 ms is submitted to entry 0
    And 0.5 s pass
    And entry 0 is killed
    And 15 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against jobs that nobody takes over as one answer was lost.
  Scenario: A lost owner's jobs are taken over though the answer to its removal is lost
    Given a simulated site of 3 entries, 8 targets and a store
    And the answer to the next removal of a lease row is lost
    When durable job "a" with steps of 3, 4 and 2 tasks of 3000 ms is submitted to entry 0
    And 1 s pass
    And entry 0 is killed
    And 40 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against an accepted job whose stored owner is gone.
  Scenario: A job whose first write is applied after its owner was lost is taken over
    Given a simulated site of 3 entries, 8 targets and a store
    When durable job "b" of 2 tasks of 300 ms is submitted to entry 1
    And 2 s pass
    And the store fails in mode late for 0.2 s
    And durable job "a" of 4 tasks of 300 ms is submitted to entry 0
    And 0.1 s pass
    And entry 0 is killed and restarts after 0.5 s
    And 3 s pass
    And durable job "a" of 4 tasks of 300 ms is submitted to entry 1
    And 30 s pass
    Then the caller of job "a" got the outcome stored
    And the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against a job that is stored between the reads of a scan.
  Scenario: A removal that only a scan shows as applied is followed by another scan
    Given an entry whose removal of a lost entry's lease row got no answer
    When a scan that began before the removal shows that the row is gone
    Then the entry scans the records again

  # Guards against an accepted job whose owner doesn't know that it owns it.
  Scenario: A job whose first write is applied after its owner's lease was renewed runs
    Given a simulated site of 2 entries, 8 targets and a store
    And the next write of a job's record is applied 9 s late
    When durable job "a" of 4 tasks of 300 ms is submitted to entry 0
    And entry 0 cannot reach the store for 6.6 s
    And 10 s pass
    And durable job "a" of 4 tasks of 300 ms is submitted to entry 1
    And 20 s pass
    Then the caller of job "a" got the outcome stored
    And the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against a cancelled job that runs, as the cancellation was read early.
  Scenario: A cancellation that is read before the answer to the first write counts
    Given an entry whose first write of a job is not answered yet
    When another entry's cancellation of the job is read before the answer
    Then the job is cancelled and never started

  # Guards against an accepted job that nobody runs.
  Scenario: A write of a lost owner that is applied during the takeover of its job leads to another scan
    Given an entry that takes over the job of a lost owner
    When the answer shows that a write of the lost owner was applied meanwhile
    Then the entry scans the records again

  # Guards against a completed job that is opened again.
  Scenario: A late write of an entry's own counts when it takes its job back
    Given an entry that takes its own job back after it had lost its lease
    When the answer shows that its earlier write of the job's end was applied meanwhile
    Then the job is completed and never started

  # Guards against the loss of a completion in the next incarnation of a target.
  Scenario: Tasks that run on a restarted target before its agent knows are counted once
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 24 tasks of 100 ms is submitted to entry 0
    And 6 s pass
    And target 0 crashes and restarts after 0.05 s
    And 0.1 s pass
    And durable job "b" of 24 tasks of 2 ms is submitted to entry 0
    And 6 s pass
    Then the store records job "b" as completed
    And 48 runs were started
    And no guarantee for durable jobs is violated

  # The position up to which the former incarnation may forget its list must not
  # reach the next one.
  Scenario Outline: A target that restarts unnoticed forgets no completion of its next incarnation
    Given a simulated site of 1 entries, 1 targets and a store
    When durable job "a" of 3 tasks of 60 ms is submitted to entry 0
    And 0.42 s pass
    And target 0 crashes and restarts after <down> s
    And <later> s pass
    And durable job "b" of 3 tasks of 60 ms is submitted to entry 0
    And 6 s pass
    Then the store records job "b" as completed
    And 6 runs were started
    And no guarantee for durable jobs is violated

    Examples:
      | down | later |
      | 0.02 | 0.02  |
      | 0.1  | 0.1   |
      | 0.3  | 0.3   |

  # The target lists a limited number of completions, and one that nobody
  # acknowledges keeps all later ones on the list.
  Scenario: A completion that a lost owner has not acknowledged hides no later ones
    Given a simulated site of 2 entries, 1 targets and a store
    When durable job "a" of 1 tasks of 300 ms is submitted to entry 0
    And 0.2 s pass
    And entry 0 is killed
    And durable job "b" of 700 tasks of 60 ms is submitted to entry 1
    And 30 s pass
    Then the store records job "a" as completed
    And the store records job "b" as completed
    And no task of job "b" was done more than once
    And no guarantee for durable jobs is violated

  # Guards against a next owner that starts a task whose first start may still be
  # carried out by a target out of its agent's reach.
  Scenario Outline: A lost owner's start at an unreachable target runs beside no other
    Given a simulated site of 3 entries, 2 targets and a store
    And the next 6 start requests to target 0 are executed <late> s late
    When durable job "a" of 8 tasks of 3000 ms is submitted to entry 0
    And 0.03 s pass
    And simulated target 0 stops sending responses
    And 0.1 s pass
    And entry 0 is killed and restarts after <down> s
    And 25 s pass
    Then no task ever had two runs at the same time

    Examples:
      | late | down |
      | 4.5  | 1.0  |
      | 10.5 | 20.0 |

  # Guards against tasks that wait for ever for a target that is gone.
  Scenario: A job is completed though an agent comes back without its target
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 12 tasks of 3000 ms is submitted to entry 0
    And 0.03 s pass
    And target 0 crashes and restarts after 100 s
    And agent 0 is killed and restarts after 0.5 s
    And 30 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against runs that are moved for ever, as tasks which the former owner
  # completed count as having taken no time.
  Scenario: A job of which some tasks were done is completed after a takeover
    Given a simulated site of 2 entries, 4 targets and a store
    When durable job "a" of 4 tasks of 2000 ms is submitted to entry 0
    And 1 s pass
    And target 0 crashes and restarts after 1 s
    And 1.8 s pass
    And entry 0 is killed and restarts after 0.5 s
    And 20 s pass
    Then task 0 of job "a" was started at most 3 times
    And the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against a job whose record no row can hold, which blocks others.
  Scenario: A durable job whose record would not fit into a row is refused
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "large" of 3000 tasks of 50 ms is submitted to entry 0
    And 2 s pass
    Then the caller of job "large" got the outcome refused
    When durable job "large" of 8 tasks of 300 ms is submitted to entry 0
    And 4 s pass
    Then the store records job "large" as completed
    And no guarantee for durable jobs is violated

  Scenario: An accepted durable job survives a restart of all entries and agents
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 8 tasks of 500 ms is submitted to entry 0
    And 0.02 s pass
    And all entries and agents are killed and restart after 1.0 s
    And 12 s pass
    Then the caller of job "a" got the outcome stored
    And the store records job "a" as completed
    And no guarantee for durable jobs is violated
    And the agents have no runs and no unacknowledged completions

  Scenario: During a store outage accepted jobs run on and no new job is accepted
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 4 tasks of 2000 ms is submitted to entry 0
    And 0.5 s pass
    And the store rejects all calls for 4 s
    And 1.5 s pass
    And durable job "b" of 1 tasks of 200 ms is submitted to entry 0
    Then the caller of job "b" got the outcome unknown
    And 6 s pass
    And the store records job "a" as completed
    And 4 runs were started
    And no guarantee for durable jobs is violated

  Scenario Outline: No guarantee is violated when the store fails in mode <mode> for <span> s
    Given a simulated site of 3 entries, 3 targets and a store
    When the store fails in mode <mode> for <span> s
    And 12 durable jobs of 2 tasks of 300 ms are submitted 50 ms apart
    And 30 s pass
    Then the store records every accepted job as completed
    And no guarantee for durable jobs is violated

    Examples:
      | mode   | span |
      | silent | 3    |
      | silent | 9    |
      | loses  | 5    |
      | late   | 4    |

  Scenario: Another entry takes over and completes the job of an owner that is paused for 11 s
    Given a simulated site of 3 entries, 3 targets and a store
    When durable job "a" of 6 tasks of 3000 ms is submitted to entry 0
    And 0.5 s pass
    And entry 0 is paused for 11 s
    And 20 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  Scenario: Another entry takes over and completes the job of an owner that cannot reach the store
    Given a simulated site of 3 entries, 3 targets and a store
    When durable job "a" of 6 tasks of 9000 ms is submitted to entry 0
    And 0.5 s pass
    And entry 0 cannot reach the store for 12 s
    And 30 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  Scenario: An unacknowledged completion at an agent survives a restart of the job's owner
    Given a simulated site of 2 entries, 2 targets and a store
    When durable job "a" of 2 tasks of 300 ms is submitted to entry 0
    And 0.1 s pass
    And the store rejects all calls for 1 s
    And 0.4 s pass
    And entry 0 is killed and restarts after 0.6 s
    And 10 s pass
    Then the store records job "a" as completed
    And 2 runs were started
    And the agents have no runs and no unacknowledged completions

  # Guards against a failed run that the next owner counts again, as the agent
  # still holds its end.
  Scenario: A failed run that was stored but not acknowledged counts once after a takeover
    Given a simulated site of 2 entries, 1 targets and a store
    And every run on simulated target 0 fails
    When durable job "a" of 1 tasks of 400 ms is submitted to entry 0
    And 0.6 s pass
    And runs on simulated target 0 succeed again
    And entry 0 is killed as the store records 2 failed runs of job "a"
    And entry 0 restarts after 0.3 s
    And 10 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated
    And the agents have no runs and no unacknowledged completions

  # Guards against a failed run that counts again on each new stream, as no
  # answer of the store lets its agent discard the end.
  Scenario: A failed run of a former owner counts once although its agent reports it again
    Given a simulated site of 2 entries, 1 targets and a store
    And every run on simulated target 0 fails
    When durable job "a" of 1 tasks of 400 ms is submitted to entry 0
    And 0.45 s pass
    And entry 0 is killed
    And entry 0 restarts after 0.3 s
    And entry 0 takes over job "a"
    And the store fails in mode silent for 3 s
    And all streams of entry 0 are disconnected for 0.2 s
    And 0.3 s pass
    And runs on simulated target 0 succeed again
    And all streams of entry 0 are disconnected for 0.2 s
    And 15 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # The completion would keep all later ones on the target's list.
  Scenario: A completion of an ended job is acknowledged by another entry once its owner is lost
    Given a simulated site of 2 entries, 1 targets and a store
    When durable job "a" of 1 tasks of 300 ms is submitted to entry 0
    And entry 0 is killed at the moment that job "a" is stored as completed
    And 12 s pass
    Then 1 runs were started
    And the agents have no runs and no unacknowledged completions

  # The restarted agent queries entries whether they have recorded the completions
  # that it finds at its target.
  Scenario: A job completes although the agent restarts with unacknowledged completions
    Given a simulated site of 2 entries, 1 targets and a store
    When the store rejects all calls for 2.5 s after durable job "a" of 2 tasks of 300 ms is submitted to entry 0
    And 0.6 s pass
    And agent 0 is killed and restarts after 0.3 s
    And 15 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated
    And the agents have no runs and no unacknowledged completions

  Scenario: A cancelled durable job ends at once and its runs stop within 0.3 s
    Given a simulated site of 2 entries, 2 targets and a store
    When durable job "a" of 6 tasks of 5000 ms is submitted to entry 0
    And 0.5 s pass
    And durable job "a" is cancelled at entry 0
    And 0.3 s pass
    Then the store records job "a" as cancelled
    And no target has a running task

  Scenario: A cancellation that is not stored yet causes no completion to be lost
    Given a simulated site of 1 entries, 1 targets and a store
    When durable job "a" of 2 tasks of 300 ms is submitted to entry 0
    And 0.2 s pass
    And the store rejects all calls for 9 s
    And entry 0 is paused for 0.4 s
    And durable job "a" is cancelled at entry 0
    And 20 s pass
    Then no guarantee for durable jobs is violated

  Scenario: A restarted owner never counts the completion of an abandoned run
    Given a simulated site of 1 entries, 2 targets and a store
    When durable job "a" of 1 tasks of 400 ms is submitted to entry 0
    And 0.3 s pass
    And targets 0 to 0 become unreachable from entry 0
    And 1.6 s pass
    Then 2 runs were started
    When targets 1 to 1 become unreachable from entry 0
    And 0.4 s pass
    And targets 0 to 0 become reachable from entry 0 again
    And entry 0 is killed and restarts after 0.5 s
    And 4 s pass
    And targets 1 to 1 become reachable from entry 0 again
    And all streams of entry 0 are disconnected for 0.2 s
    And 30 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  Scenario: Waiting durable jobs still count as pending after a restart of their owner
    Given a simulated site of 2 entries, 1 targets and a store
    When durable job "a" of 10 tasks of 6000 ms is submitted to entry 0
    And 0.2 s pass
    And durable job "b" of 4 tasks of 300 ms is submitted to entry 0
    And durable job "c" of 4 tasks of 300 ms is submitted to entry 0
    And 1.5 s pass
    Then entry 1 reports 2 pending jobs
    When entry 0 is killed and restarts after 0.3 s
    And 1.2 s pass
    Then entry 1 reports at least 2 pending jobs
    And 25 s pass
    And entry 1 reports 0 pending jobs

  Scenario: A job that another entry has stored is never reported as refused
    Given a simulated site of 2 entries, 2 targets and a store
    When durable job "a" of 2 tasks of 300 ms is submitted to entry 0
    And 0.004 s pass
    And entry 0 is killed and restarts after 0.5 s
    And entry 1 cannot reach the store for 8 s
    And 2 s pass
    And durable job "a" of 2 tasks of 300 ms is submitted to entry 1
    And 2 s pass
    Then the caller of job "a" got the outcome unknown
    And the store records job "a" as completed

  Scenario: A cancellation at another entry that races with completions leaves nothing at the agents
    Given a simulated site of 2 entries, 2 targets and a store
    When durable job "a" of 2 tasks of 300 ms is submitted to entry 0
    And 0.28 s pass
    And job "a", owned by another entry, is cancelled at entry 1
    And 3 s pass
    Then the store records job "a" as cancelled
    And the agents have no runs and no unacknowledged completions
    And no guarantee for durable jobs is violated

  Scenario: A cancellation at another entry stops the job's runs
    Given a simulated site of 2 entries, 2 targets and a store
    When durable job "a" of 4 tasks of 5000 ms is submitted to entry 0
    And 0.5 s pass
    And job "a", owned by another entry, is cancelled at entry 1
    And 0.6 s pass
    Then the store records job "a" as cancelled
    And no target has a running task

  Scenario: A durable job submitted to two entries runs once
    Given a simulated site of 2 entries, 3 targets and a store
    When durable job "a" of 4 tasks of 500 ms is submitted to entry 0
    And durable job "a" of 4 tasks of 500 ms is submitted to entry 1
    And 4 s pass
    Then the caller of job "a" got the outcome stored
    And the store records job "a" as completed
    And 4 runs were started

  Scenario: A durable job whose task has used up its attempts is stored as failed
    Given a simulated site of 1 entries, 1 targets and a store
    And every run on simulated target 0 fails
    When durable job "a" of 1 tasks of 100 ms is submitted to entry 0
    And 10 s pass
    Then the store records job "a" as failed
    And 3 runs were started

  Scenario Outline: Random faults violate no guarantee for durable jobs
    When random faults with seeds <first> to <last> are injected into simulated sites with a store
    Then no simulated site violated a guarantee for durable jobs
    And every accepted job of the simulated sites has ended

    Examples:
      | first | last |
      | 1     | 24   |

  # Guards against failed runs that count twice at a takeover.
  Scenario: Failing runs beside random faults violate no guarantee for durable jobs
    When random faults with seeds 41 to 48 are injected beside targets that fail runs
    Then no simulated site violated a guarantee for durable jobs
    And every accepted job of the simulated sites has ended
