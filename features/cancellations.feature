Feature: Cancellations of durable jobs that no entry has stored yet
  Two entries on one store, with the real driver of durable jobs. Entry 1, at
  which jobs are cancelled, knows of no durable jobs.

  # Guards against a cancelled job that is stored when its entry reaches the
  # store again.
  Scenario Outline: A job that is cancelled where no durable job is known never starts
    Given two entries on one store that know of no durable jobs
    When entry 0 gets no answers from the store
    And a job is submitted to entry 0
    And its caller <conduct>
    And the unstored job is cancelled at entry 1
    And it learns <source> that durable jobs exist
    And entry 0 gets answers from the store again
    Then each cancellation is acknowledged as of no such job
    And the job is not started within 1 s

    Examples:
      | conduct | source        |
      | leaves  | from nobody   |
      | waits   | from an agent |
      | leaves  | from an agent |

  # Guards against a cancellation that is forgotten before the job arrives.
  Scenario: A job that arrives after its cancellation is stopped
    Given two entries on one store that know of no durable jobs
    When the unstored job is cancelled at entry 1
    And a job is submitted to entry 0
    And entry 1 is told by an agent that durable jobs exist
    Then each cancellation is acknowledged as of no such job
    And the job is stopped within 0.5 s

  # Guards against a job that is taken again after its 410.
  Scenario: A job that is submitted again where it was cancelled is refused
    Given two entries on one store that know of no durable jobs
    When the unstored job is cancelled at entry 1
    And a job is submitted to entry 1
    Then the job's submission is answered with refused

  # Guards against a write to the store for each cancellation of other jobs.
  Scenario: Cancellations cost no write while no durable jobs are known
    Given two entries on one store that know of no durable jobs
    When 50 unknown jobs are cancelled at entry 1
    Then entry 1 has sent 0 transactions

  # Guards against a first write that is applied when the row of the job's
  # cancellation has been removed.
  Scenario: A first write that gets no answer is not repeated for long
    Given an entry that holds its lease
    When the first write of a job gets no answer for 150 s
    Then the first write was last sent after at most 61 s
    And the entry has scanned the records after the last attempt

  # Guards against a caller that waits for a lease which the store refuses.
  Scenario: A job is given up at once when its entry gets no first lease
    Given an entry that has just learnt of durable jobs
    When a job is submitted to it and its lease gets no answer for 10 s
    Then the caller got the outcome unknown within 1.1 s
    And the job is not sent once the lease is granted

  # Guards against entries that learn of the first durable jobs too late.
  Scenario: An agent tells all entries that one of them knows of durable jobs
    Given an agent with streams to two entries
    When entry 0 tells the agent that it knows of durable jobs
    Then the agent tells entry 1 at once that durable jobs exist

  # Guards against entries that ignore what an agent tells them.
  Scenario Outline: An entry learns of durable jobs from an agent
    Given an entry that knows of no durable jobs
    When an agent's message says that durable jobs exist: <exist>
    Then the entry takes part in running durable jobs: <exist>

    Examples:
      | exist |
      | yes   |
      | no    |
