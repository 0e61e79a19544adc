Feature: Scheduling order under load, under virtual time
  Later or larger jobs do not delay a job for longer than these limits.

  Scenario: The first jobs of a kind do not wait for later ones
    Given a simulated site with 4 slots and tasks of 10 ms
    When 40 jobs of 20 tasks are followed by a sustained load at full capacity
    Then the first jobs end within 4 seconds

  Scenario: A small job does not wait for a large one
    Given a simulated site with 4 slots and tasks of 10 ms
    When a job of 700 tasks is followed by a job of 1 task
    Then the small job ends within 0.1 seconds
