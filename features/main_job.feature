Feature: The whole path through separate processes

  @site.2.4.2
  Scenario: A job comes back complete and is not run again
    When a job of 50 tasks of 50 ms is submitted to entry 0
    Then its outcome is "done" with 50 results
    When the same job is submitted to entry 1
    Then it gets the same answer
    And no task was started twice

  @site.2.4.2
  Scenario: A data centre is taken out and comes back
    When the operator takes "vest-b" out
    And 4 seconds pass
    And a job of 50 tasks of 20 ms is submitted to entry 0
    Then its outcome is "done" with 50 results
    And no task of it started in "vest-b"
    When the operator brings "vest-b" in
    And 4 seconds pass
    And a job of 50 tasks of 20 ms is submitted to entry 1
    Then its outcome is "done" with 50 results
    And some task of it started in "vest-b"

  @site.2.2.2
  Scenario: A planned stop of an entry cuts off nothing
    Given a job of 8 tasks of 800 ms is under way at entry 0
    When "entry-0" is told to stop
    Then the job under way ends as "done" with 8 results
    And "entry-0" ends with exit code 0
    When the same job is submitted to entry 1
    Then it gets the same answer
    And no task was started twice

  @site.1.2.2
  Scenario: A planned stop of an agent cuts off nothing
    Given a job of 16 tasks of 800 ms is under way at entry 0
    When "agent-1" is told to stop
    Then the job under way ends as "done" with 16 results
    And "agent-1" ends with exit code 0
    And no task was started twice
