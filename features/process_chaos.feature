Feature: Random faults on entries and agents as processes

  # Guards against two runs of a task under faults that overlap.
  Scenario: Overlapping faults of processes, runners and connections start no task twice
    Given 3 entry processes, 6 agent processes and 4 callers
    When random faults with seed 7 are played for 8 s
    Then at least 10 jobs were completed or stored
    And no start broke a guarantee

  # Guards against late writes that outdate a row, and against cancelled jobs
  # that are stored or started after the acknowledgement.
  Scenario: Late writes and cancellations beside overlapping faults hide no agent and no cancelling
    Given 3 entry processes, 6 agent processes and 4 callers
    When random faults and late writes with seed 3 are played for 8 s, and 40 % of the durable jobs are cancelled
    Then at least 10 jobs were completed or stored
    And no start broke a guarantee
