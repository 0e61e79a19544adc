Feature: Limits of an entry's memory, under virtual time

  Scenario: An entry that can keep no further record starts nothing new
    Given a virtual site whose entry keeps 3 records
    When 5 jobs of 1 task are submitted one after another
    Then 3 jobs are done and 2 have the unknown outcome 3005
    And 3 tasks were started

  Scenario: A job that would overfill the queue is refused truly
    Given a virtual site whose entry queues 10 tasks
    When a job of 20 tasks is submitted
    Then it is not run with code 2007
    And 0 tasks were started
    When the same virtual job is submitted again
    Then it is not run with code 2007
    And 0 tasks were started
