Feature: Jobs through separate processes, end to end
  A tag site.E.T.D starts E entries, T targets with an agent each, and
  D data centres.

  @site.2.4.2
  Scenario: A job that is submitted again gets the same response and is not run again
    When a job of 50 tasks of 50 ms is submitted to entry 0
    Then its outcome is "done" with 50 results
    When the same job is submitted to entry 1
    Then it gets the same response
    And no task was started twice

  @site.2.4.2
  Scenario: A data centre that is out of service gets no tasks until it is back
    When the operator takes data centre "vest-b" out of service
    And 4 seconds pass
    And a job of 50 tasks of 20 ms is submitted to entry 0
    Then its outcome is "done" with 50 results
    And no task of the job started in data centre "vest-b"
    When the operator brings data centre "vest-b" back into service
    And 4 seconds pass
    And a job of 50 tasks of 20 ms is submitted to entry 1
    Then its outcome is "done" with 50 results
    And some task of the job started in data centre "vest-b"

  @site.2.2.2
  Scenario: A graceful shutdown of an entry interrupts no job
    Given a job of 8 tasks of 800 ms is in progress at entry 0
    When "entry-0" is sent SIGTERM
    Then the job in progress ends as "done" with 8 results
    And "entry-0" exits with code 0
    When the same job is submitted to entry 1
    Then it gets the same response
    And no task was started twice

  @site.1.2.2
  Scenario: A graceful shutdown of an agent interrupts no job
    Given a job of 16 tasks of 800 ms is in progress at entry 0
    When "agent-1" is sent SIGTERM
    Then the job in progress ends as "done" with 16 results
    And "agent-1" exits with code 0
    And no task was started twice
