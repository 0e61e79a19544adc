Feature: Entries and agents as processes of their own
  Runners, store and callers are stand-ins; all connections are on loopback.

  # Guards against a second run of a task whose first one goes on in a runner
  # that has restarted under its id, unnoticed by its agent.
  Scenario Outline: A runner that restarts while idle runs no task twice: <beat> s, <then>
    Given a site of 1 entry processes and <agents> agent processes
    When runner 0 restarts between two polls, with its first heartbeat after <beat> s
    And a job of 8 tasks of 400 ms is submitted at once
    And runner 0 <then>
    Then runner 0 began runs of the job after its restart
    And no task had two runs at the same time
    And the job was completed

    Examples:
      | agents | beat | then                       |
      | 4      | 0.6  | stays up                   |
      | 4      | 1.5  | stays up                   |
      | 2      | 1.5  | goes down when a run ended |

  # Guards against a second run of a task whose start is carried out late by a
  # runner that its agent can't reach meanwhile.
  Scenario: A start that an unreachable runner carries out late runs no task twice
    Given a site of 1 entry processes and 4 agent processes
    When a job of 8 tasks of 1800 ms is submitted at once
    And runner 0 answers nothing for 2.6 s and carries out starts 1.6 s late
    Then runner 0 began runs of the job
    And no task had two runs at the same time
    And the job was completed
