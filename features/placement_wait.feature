Feature: Waiting for a target near a task's data, under virtual time
  A task takes longer on another rack than that of its data. It waits for its
  rack while it then ends sooner, and for no longer than that pays.

  Scenario: Pattern "hot rack": waiting while it pays beats never and always
    Given the workload "hot_rack" at load 0.8 for 10 s
    When it is played with tasks that wait "never", "sooner" and "always"
    Then waiting "sooner" serves at least 0.05 more of the worth than "never"
    And waiting "sooner" serves no less of the worth than "always"
    And no task ever had two runs at once

  Scenario: A rack that is lost halfway holds up no task
    Given the workload "hot_rack" at load 0.6 for 10 s
    And the targets of the first rack are lost from 4 s on
    When the workload is played with that loss
    Then every job is answered, and most jobs with data on the lost rack are completed

  Scenario Outline: A wait of <wait_ms> ms for a run of 400 ms that takes twice as long elsewhere
    Given a job whose latest start is in <slack_ms> ms and that has waited <age_ms> ms
    Then waiting <wait_ms> ms for its rack pays: <pays>

    Examples:
      | wait_ms | slack_ms | age_ms | pays |
      | 100     | 300      | 0      | yes  |
      | 100     | 50       | 0      | no   |
      | 450     | 900      | 0      | no   |
      | 100     | 300      | 450    | no   |
