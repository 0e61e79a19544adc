Feature: Failures of real processes
  Entries, agents, targets and the platform run as separate processes.
  A tag site.E.T.D starts E entries, T targets with an agent each, and
  D data centres. A response is consistent with the recorded starts if no task
  that it reports as not run has started, and every task that it reports as
  done has.

  @site.2.2.2
  Scenario: A job of a killed entry completes at another entry without duplicate starts
    Given a job of 16 tasks of 1500 ms is in progress at entry 0
    When "entry-0" is killed
    And 6 seconds pass
    And the same job is submitted to entry 1
    Then its outcome is "done" with 16 results
    And no task was started twice

  @site.2.4.2
  Scenario: A job submitted to two entries at once gets one response and no duplicate start
    When 200 jobs of 3 tasks are each submitted to both entries at once
    Then both submissions of each job got the same response
    And every job is done
    And no task was started twice

  @site.2.2.2
  Scenario: An entry that is paused past its lease causes no duplicate start
    Given jobs are submitted continuously
    When "entry-0" is paused for 6 seconds
    And 6 seconds pass
    And the continuous load stops
    Then no task was started twice
    And every response is consistent with the recorded starts
    And entry 0 is ready again

  @site.2.2.2
  Scenario: A job with tasks on a killed agent fails without duplicate starts
    Given a job of 16 tasks of 1000 ms is in progress at entry 0
    When "agent-1" is killed
    And "agent-1" is restarted
    Then the job in progress ends as "failed"
    And the job's response is consistent with the recorded starts
    And no task was started twice

  @site.2.2.2
  Scenario: The loss of an entry and an agent causes no duplicate start
    Given a job of 16 tasks of 1000 ms is in progress at entry 0
    When "entry-0" is killed
    And "agent-1" is killed
    And "agent-1" is restarted
    And 6 seconds pass
    And the same job is submitted to entry 1
    Then its outcome is one of "failed, outcome_unknown"
    And the job's response is consistent with the recorded starts
    And no task was started twice

  @site.2.2.2
  Scenario: Jobs are done while the platform's table is down, until an entry is lost
    Given the platform is in mode "down"
    When 3 seconds pass
    And a job of 16 tasks of 100 ms is submitted to entry 0
    Then its outcome is "done" with 16 results
    When 50 seconds pass
    And a job of 16 tasks of 100 ms is submitted to entry 1
    Then its outcome is "done" with 16 results
    When "entry-0" is killed
    And 3 seconds pass
    And a job of 4 tasks of 10 ms is submitted to entry 1 with a new id and a short deadline
    Then its outcome is "outcome_unknown"
    When the platform is in mode "up"
    And entry 1 completes jobs again
    Then no task was started twice

  @site.2.2.2
  Scenario: An operator's change is accepted once although the table's response is lost
    Given the platform is in mode "lose_answers"
    When the operator begins to take data centre "vest-b" out of service
    And 2 seconds pass
    And the platform is in mode "up"
    Then the operator's change is accepted exactly once

  @site.2.2.2
  Scenario: One of two concurrent changes to a data centre is rejected as a conflict
    When two operators change data centre "vest-b" from the same version at once
    Then one change is accepted and the other gets a conflict

  @site.2.4.2
  Scenario: No task starts in a data centre that was taken out of service under load
    Given jobs are submitted continuously
    When the operator takes data centre "vest-b" out of service
    And 6 seconds pass
    And the continuous load stops
    Then no task started in data centre "vest-b" more than 3 seconds after the change
    And every response is consistent with the recorded starts
    And no connection broke during a submission and every job is done

  @site.2.4.2
  Scenario: A data centre stays out of service although the table fails right after the change
    Given jobs are submitted continuously
    When the operator takes data centre "vest-b" out of service
    And the platform is in mode "down"
    And 6 seconds pass
    And the continuous load stops
    Then no task started in data centre "vest-b" more than 3 seconds after the change
    And every response is consistent with the recorded starts
    And no connection broke during a submission and every job is done

  @site.2.3.1
  Scenario: A graceful restart of each process under load interrupts no job
    Given jobs are submitted continuously
    When "entry-0" is restarted gracefully
    And "entry-1" is restarted gracefully
    And "agent-0" is restarted gracefully
    And "agent-1" is restarted gracefully
    And "agent-2" is restarted gracefully
    And the continuous load stops
    Then no connection broke during a submission and every job is done
    And every response is consistent with the recorded starts
    And no task was started twice

  @site.1.1.1
  Scenario Outline: Tasks on a target in mode <mode> end as <outcome> with code <code>
    Given target 0 is in mode "<mode>"
    When a job of 4 tasks of 10 ms is submitted to entry 0 with a deadline of 3 seconds
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
  Scenario: A target that shuts down gracefully gets no new tasks
    Given target 0 is in mode "leaving"
    When 3 seconds pass
    And a job of 8 tasks of 10 ms is submitted to entry 0
    Then its outcome is "done" with 8 results
    And target 0 started no task

  @site.1.1.1
  Scenario: No task of a job rejected for its deadline is ever started
    When a job of 8 tasks of 2000 ms is submitted to entry 0
    Given a job of 8 tasks of 2000 ms is in progress at entry 0
    When a job of 4 tasks of 2000 ms is submitted to entry 0 with a deadline of 1 second
    Then its outcome is "not_run"
    When 3 seconds pass
    Then no task of the job was started
    When the same job is submitted to entry 0
    Then its outcome is "not_run"
    And no task of the job was started

  @site.1.1.1
  Scenario: A job that is cancelled while it runs ends as failed
    Given a job of 30 tasks of 400 ms is in progress at entry 0
    When the job is cancelled at entry 0
    Then the job in progress ends as "failed"
    And the job's response is consistent with the recorded starts
