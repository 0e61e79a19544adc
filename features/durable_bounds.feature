Feature: What one durable job, call or entry may cost the others
  Entries and agents run the real code on simulated targets and a simulated
  store.

  # Guards against jobs that end each placement pass and are never placed.
  Scenario Outline: Jobs that can't be placed hold up no other job
    Given a simulated site of 2 entries, 3 targets and a store
    And target 0 is the only one with the label "rare"
    When durable job "holder" of 10 tasks of 9000 ms needs the label "rare" at entry 0
    And <odd> jobs are submitted to entry 0 whose last step <why>
    And 1.5 s pass
    And 30 durable jobs of 4 tasks of 300 ms are submitted to entry 0, 20 ms apart
    And 6 s pass
    Then every accepted ordinary job is stored as completed
    And no guarantee for durable jobs is violated

    Examples:
      | odd | why                             |
      | 3   | needs a label that no target has |
      | 3   | needs more memory than any target has |
      | 3   | needs the label "rare"          |
      | 300 | needs labels that no target has |

  # Guards against jobs each of which ranks all agents in each pass.
  Scenario Outline: Waiting jobs that find no room are rejected at once
    Given a simulated site of 1 entries, 4 targets and a store
    When 150 jobs are submitted to entry 0 whose <tasks>
    Then no placement pass of 1 s tries more than 25 of them

    Examples:
      | tasks                          |
      | tasks run once on each target  |
      | tasks all demand other amounts |

  # Guards against large tasks that never find the room that small ones take.
  Scenario: Large tasks run although small ones overload the site for long
    Given a simulated site of 1 entries, 2 targets and a store
    When 2 jobs of one task of 14.4 cores join an overload of small ones for 12 s
    Then the store records job "wide0" as completed
    And the store records job "wide1" as completed

  # Guards against agents that offer free capacity to a job they can't run.
  Scenario: A job that no target can run is no demand until one can run it
    Given a simulated site of 1 entries, 2 targets and a store
    When durable job "a" of 2 tasks of 300 ms needs the label "rare" at entry 0
    And 2 s pass
    Then no agent is told of waiting tasks
    When target 0 is the only one with the label "rare"
    And 3 s pass
    Then the store records job "a" as completed
    And no guarantee for durable jobs is violated

  # Guards against jobs set apart each time that an agent restarts.
  Scenario: Jobs wait for the only target that can run them while its agent restarts
    Given a simulated site of 1 entries, 3 targets and a store
    And target 0 is the only one with the label "rare"
    When durable job "holder" of 10 tasks of 9000 ms needs the label "rare" at entry 0
    And durable job "a" of 10 tasks of 20 ms needs the label "rare" at entry 0
    And agent 0 is killed and restarts after 0.3 s
    And 2 s pass
    Then entry 0 has set no jobs apart

  # Guards against a call that is too large and is repeated for ever.
  Scenario: An entry takes over more large jobs than a call may hold
    Given an entry that takes over 60 jobs of one part, in rows of 40000 bytes
    When the store answers its calls
    Then each call has at most 100 entries and 1000000 bytes as sent
    And all 60 jobs are stored and started

  Scenario: A call that is rejected as too large is split
    Given an entry that takes over 60 jobs of one part, in rows of 500 bytes
    When the store answers its calls, those of over 5 records with status 413
    Then all 60 jobs are stored and started

  # Guards against one record that keeps all others of its part from the store.
  Scenario: A record that no call may hold keeps no other from being stored
    Given an entry that takes over 60 jobs of one part, in rows of 500 bytes
    When the store answers its calls, those with the first job with status 400
    Then all jobs but the first are stored and started
    And at most 10 calls hold the first job alone

  # Guards against jobs of a lost owner that nobody takes over unless asked.
  Scenario: An entry that nobody asks finds the first durable jobs of others
    Given an entry that has found no durable jobs in the store
    When another entry stores one and 4.2 s of real time pass
    Then the entry knows that durable jobs exist
    And it has made at most 3 calls to find out

  # Guards against a job that was stored after the takeover from its owner.
  Scenario: A query for a job of an owner without a lease leads to a takeover
    Given an entry that takes over 1 jobs of one part, in rows of 500 bytes
    When the store answers its calls
    And a caller asks for a job whose stored owner has no lease
    Then the entry scans the records again

  # Guards against queries each of which has all records read.
  Scenario: Many queries for jobs of a lost owner lead to few scans
    Given an entry that takes over 1 jobs of one part, in rows of 500 bytes
    When callers ask 100 times in 2 s for a job that is being taken over
    Then the entry scans the records at most 0 times
    When callers ask 100 times in 2 s for other jobs of the lost owner
    Then the entry scans the records at most 2 times

  # Guards against a takeover from an owner that is just starting again.
  Scenario: A query takes no jobs from an owner that has just started again
    Given an entry that takes over 0 jobs of one part, in rows of 500 bytes
    When the owner starts again
    And callers ask 100 times in 2 s for other jobs of the lost owner
    Then the entry scans the records at most 0 times
    When callers ask 100 times in 4 s for other jobs of the lost owner
    Then the entry scans the records once

  # Guards against a cancelled job that is stored and started afterwards.
  Scenario Outline: A job that is cancelled before its first write is applied never starts
    Given two entries that hold their leases in one store
    When a job is submitted to entry 0, which gets no answers from the store
    And the job that is not stored yet is cancelled at entry <number>
    And the store answers entry 0 again
    Then the cancellation is acknowledged
    And the job is not started
    And a query at entry 1 shows <state>

    Examples:
      | number | state     |
      | 1      | no job    |
      | 0      | cancelled |

  # Guards against a new process that counts its own jobs before it has any.
  Scenario: Waiting jobs count as pending at all times while their owner starts again
    Given a simulated site of 3 entries, 1 targets and a store
    When durable job "a" of 10 tasks of 6000 ms is submitted to entry 0
    And 0.2 s pass
    And 28 durable jobs of 4 tasks of 300 ms are submitted to entry 0, 20 ms apart
    And 1.5 s pass
    And entry 0 is killed and restarts after 0.3 s
    Then each entry that has read the lease rows reports at least 28 pending jobs for 1.2 s
    And 35 s pass
    And entry 1 reports 0 pending jobs

  # Guards against a lease that can't be renewed as its row is too long.
  Scenario: A lease row with the counts of very many queues fits into a row
    Given an entry with a pending job in each of 3000 queues
    Then its lease row has at most 65536 bytes and counts at least 1000 queues

  # Guards against as many calls at once as there are rows.
  Scenario: The rows of many cancellations are removed in few calls
    Given two entries that hold their leases in one store
    When 120 cancellations of jobs of one part are read by entry 0
    Then their rows are removed in at most 3 calls, one after another

  # Guards against one part of a table that keeps all jobs from a takeover.
  Scenario: A part of the table that can't be read holds up no other part
    Given two entries that hold their leases in one store
    And each part of the table holds a job of a lost owner
    When entry 0 starts while part "s0" can't be read
    Then it runs the jobs of the 7 other parts

  # Guards against ends that their agents give up before they are looked up.
  Scenario: The ends of many jobs that no entry knows are acknowledged in time
    Given two entries that hold their leases in one store
    And each part of the table holds a job of a lost owner
    When 600 ends of other jobs and one of each of these are given to entry 0
    Then all but those of the stored jobs are acknowledged within 5 s
    And at most 60 calls to the store have been made

  Scenario: A part of the table that can't be read keeps back only its own ends
    Given two entries that hold their leases in one store
    And each part of the table holds a job of a lost owner
    When part "s0" can't be read
    And 600 ends of other jobs and one of each of these are given to entry 0
    Then all but those of part "s0" and of the stored jobs are acknowledged
