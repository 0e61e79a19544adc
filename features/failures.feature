Feature: Failures of real processes

  @site.2.2.2
  Scenario: An entry is killed with a job under way
    Given a job of 16 tasks of 1500 ms is under way at entry 0
    When "entry-0" is killed
    And 6 seconds pass
    And the same job is submitted to entry 1
    Then its outcome is "done" with 16 results
    And no task was started twice

  @site.2.4.2
  Scenario: The same submission comes to two entries at the same moment
    When 200 jobs of 3 tasks are each submitted to both entries at once
    Then both copies of each job got the same answer
    And every job is done
    And no task was started twice

  @site.2.2.2
  Scenario: An entry is paused past its lease while it dispatches
    Given jobs are submitted without a break
    When "entry-0" is paused for 6 seconds
    And 6 seconds pass
    And the jobs end
    Then no task was started twice
    And every answer is true
    And entry 0 is ready again

  @site.2.2.2
  Scenario: An agent is killed with tasks under way
    Given a job of 16 tasks of 1000 ms is under way at entry 0
    When "agent-1" is killed
    And "agent-1" is started again
    Then the job under way ends as "failed"
    And the job's answer is true
    And no task was started twice

  @site.2.2.2
  Scenario: An entry and an agent are lost together
    Given a job of 16 tasks of 1000 ms is under way at entry 0
    When "entry-0" is killed
    And "agent-1" is killed
    And "agent-1" is started again
    And 6 seconds pass
    And the same job is submitted to entry 1
    Then its outcome is one of "failed, outcome_unknown"
    And the job's answer is true
    And no task was started twice

  @site.2.2.2
  Scenario: The platform's table is down for a minute
    Given the platform is "down"
    When 3 seconds pass
    And a job of 16 tasks of 100 ms is submitted to entry 0
    Then its outcome is "done" with 16 results
    When 50 seconds pass
    And a job of 16 tasks of 100 ms is submitted to entry 1
    Then its outcome is "done" with 16 results
    When "entry-0" is killed
    And 3 seconds pass
    And a job of 4 tasks of 10 ms is submitted to entry 1 with an id of its own
    Then its outcome is "outcome_unknown"
    When the platform is "up"
    And entry 1 serves again
    Then no task was started twice

  @site.2.2.2
  Scenario: The table's answer to an operator's change is lost
    Given the platform is "lose_answers"
    When the operator begins to take "vest-b" out
    And 2 seconds pass
    And the platform is "up"
    Then the operator's change is accepted once

  @site.2.2.2
  Scenario: Two operators change the same data centre
    When two operators change "vest-b" from the same version at once
    Then one change is accepted and the other gets a conflict

  @site.2.4.2
  Scenario: A data centre is taken out under load
    Given jobs are submitted without a break
    When the operator takes "vest-b" out
    And 6 seconds pass
    And the jobs end
    Then no task started in "vest-b" later than 3 seconds after
    And every answer is true
    And no job was cut off

  @site.2.4.2
  Scenario: The table fails right after a data centre is taken out
    Given jobs are submitted without a break
    When the operator takes "vest-b" out
    And the platform is "down"
    And 6 seconds pass
    And the jobs end
    Then no task started in "vest-b" later than 3 seconds after
    And every answer is true
    And no job was cut off

  @site.2.3.1
  Scenario: Every process is restarted in turn, as planned, under load
    Given jobs are submitted without a break
    When "entry-0" is restarted as planned
    And "entry-1" is restarted as planned
    And "agent-0" is restarted as planned
    And "agent-1" is restarted as planned
    And "agent-2" is restarted as planned
    And the jobs end
    Then no job was cut off
    And every answer is true
    And no task was started twice

  @site.1.1.1
  Scenario Outline: A target whose answers are <mode>
    Given target 0 is "<mode>"
    When a job of 4 tasks of 10 ms is submitted to entry 0 for 3 seconds
    Then its outcome is "failed"
    And each of its tasks is "<outcome>" with code <code>
    And no task was started twice

    Examples:
      | mode    | outcome         | code |
      | failing | failed          | 1001 |
      | garbage | outcome_unknown | 1003 |
      | crossed | outcome_unknown | 1003 |
      | cut     | outcome_unknown | 1004 |
      | hung    | outcome_unknown | 1002 |

  @site.1.2.1
  Scenario: A leaving target gets no new work
    Given target 0 is "leaving"
    When 3 seconds pass
    And a job of 8 tasks of 10 ms is submitted to entry 0
    Then its outcome is "done" with 8 results
    And target 0 started nothing

  @site.1.1.1
  Scenario: A refusal of a job that can't end in time is true
    When a job of 8 tasks of 2000 ms is submitted to entry 0
    Given a job of 8 tasks of 2000 ms is under way at entry 0
    When a job of 4 tasks of 2000 ms is submitted to entry 0 for 1 second
    Then its outcome is "not_run"
    When 3 seconds pass
    Then no task of it was started
    When the same job is submitted to entry 0
    Then its outcome is "not_run"
    And no task of it was started

  @site.1.1.1
  Scenario: A job is cancelled while it runs
    Given a job of 30 tasks of 400 ms is under way at entry 0
    When the job is cancelled at entry 0
    Then the job under way ends as "failed"
    And the job's answer is true
