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

  # Guards against a second run of a task whose end an agent has let its runner
  # forget after its own restart, before the owner of the job has stored it.
  Scenario: Ends that a restarted agent finds wait for an owner that is down
    Given a site of 3 entry processes and 4 agent processes
    When 6 kept jobs of 6 tasks of 500 ms are submitted to entry 0
    And entry 0 is down for 2.5 s, and an agent with ends for a moment of it
    Then the agent found ends after its restart
    And no task started after an end that was taken note of

  Scenario: On a site without kept jobs a restarted agent has ends forgotten soon
    Given a site of 2 entry processes and 2 agent processes
    When agent 1 is killed while a job of 12 tasks of 300 ms is run
    Then the agent found ends after its restart
    And its runner has no ends left to forget after 1 s
