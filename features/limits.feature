Feature: Limits of an entry's memory, under virtual time
  An entry stores a bounded number of records of submissions and queues a
  bounded number of tasks.

  Scenario: An entry with no space for another record starts no new task
    Given a simulated site whose entry stores at most 3 records
    When 5 jobs of 1 task are submitted one after another
    Then 3 jobs are done and 2 end as outcome_unknown with code 3005
    And 3 tasks were started

  Scenario: A job that would exceed the queue limit is rejected and none of its tasks starts
    Given a simulated site whose entry queues at most 10 tasks
    When a job of 20 tasks is submitted
    Then it ends as not_run with code 2007
    And 0 tasks were started
    When the same job is submitted again
    Then it ends as not_run with code 2007
    And 0 tasks were started
