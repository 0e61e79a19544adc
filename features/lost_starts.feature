Feature: Starts at lost agents are known to all entries, under virtual time

  # Guards against a second run of a task whose entry was killed, at an entry that
  # has no stream to the agent that has told the others and is then lost.
  Scenario: An unconfirmed start that a lost agent has told of is known to all entries
    Given a simulated site of 3 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When targets 0 to 0 become unreachable from entry 1
    And job "a" of 12 tasks of 1800 ms is submitted to entry 0
    And 0.1 s pass
    And simulated target 0 stops sending responses
    And entry 0 is killed
    And 1.3 s pass
    And agent 0 loses power for good
    And 1.7 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time

  # Guards against a second run of a task at an entry that the first one has not
  # told, as it stopped before it counted the agent as lost.
  Scenario: An entry that stops just after an agent lost power tells of its starts
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 2.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And agent 0 loses power for good
    And 0.1 s pass
    And entry 0 abandons all jobs
    And 0.1 s pass
    And entry 0 is killed
    And 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time

  # Guards against starts that count as ruled out as their agent, which is lost
  # again before it reports them, has sent a message in between.
  Scenario: An agent that is back for a moment does not rule out its starts
    Given a simulated site of 2 entries and 4 targets of 16 cores
    When job "b" of 4 tasks of 1800 ms, at most 1 on one target, is submitted to entry 1
    And 0.62 s pass
    Given the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0, whose caller waits 2 s
    And 0.02 s pass
    And agent 0 is paused for 0.36 s
    And 0.37 s pass
    And agent 0 loses power for good
    And 0.9 s pass
    And the deadline of job "a" ends
    And 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time

  # Guards against a message from before the loss that is read after the news.
  Scenario: An agent's message from before its loss does not rule out its starts
    Given a simulated site of 2 entries and 4 targets of 16 cores
    When job "b" of 4 tasks of 1800 ms, at most 1 on one target, is submitted to entry 1
    And 0.44 s pass
    Given the next 6 start requests to target 0 are executed 4.2 s late
    When messages of target 0 to entry 1 are held back for 0.6 s
    And job "a" of 12 tasks of 1800 ms is submitted to entry 0, whose caller waits 2 s
    And 0.1 s pass
    And agent 0 loses power for good
    And 1 s pass
    And the deadline of job "a" ends
    And 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time

  # Guards against news that get lost as no stream is open when they are told.
  Scenario: An entry tells of starts at a lost agent once it reaches another one again
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0, whose caller waits 2 s
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And streams of entry 0 to all agents that are up are disconnected for 0.4 s
    And 1.1 s pass
    And the deadline of job "a" ends
    And 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time

  # Guards against news of another entry that are taken for the entry's own.
  Scenario: A job that comes back to its first entry after a second lost start
    Given a simulated site of 2 entries and 2 targets of 16 cores
    And the next 12 start requests to target 1 are executed 3.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0, whose caller waits 1 s
    And 0.02 s pass
    And agent 1 is killed and restarts after 0.5 s
    And 3.5 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 1 s
    And 0.02 s pass
    And agent 1 is killed and restarts after 9 s
    And 2.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 0, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time

  # Guards against an answer that no task has run while one may still begin.
  Scenario: A job that is sent again to its first entry is not answered as not run
    Given a simulated site of 1 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 1 tasks of 1800 ms is submitted to entry 0, whose caller waits 1 s
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And 2.3 s pass
    And job "a" of 1 tasks of 1800 ms is submitted to entry 0, whose caller waits 1 s
    And 1.1 s pass
    Then job "a" is unfinished at entry 0

  # Guards against an answer that no task has run while a target may begin one
  # whose agent is not lost.
  Scenario: A job of which an agent reports an unconfirmed start is not answered as not run
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 1 tasks of 1800 ms is submitted to entry 0, whose caller waits 1 s
    And 0.1 s pass
    And simulated target 0 stops sending responses
    And the deadline of job "a" ends
    And 1.3 s pass
    And job "a" of 1 tasks of 1800 ms is submitted to entry 1, whose caller waits 1 s
    And 1.1 s pass
    Then job "a" is unfinished at entry 1

  # Guards against an answer that no task has run from an overloaded entry.
  Scenario: A job that an overloaded entry rejects is not answered as not run while its start may be executed
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 6.2 s late
    When job "a" of 1 tasks of 1800 ms is submitted to entry 0, whose caller waits 1 s
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And entry 1 is overloaded for 3 s
    And job "a" of 1 tasks of 1800 ms is submitted to entry 1, whose caller waits 1 s
    And 1.1 s pass
    Then job "a" is unfinished at entry 1

  # Guards against an answer that no task has run by an idle entry, to which the
  # news have yet to come.
  Scenario: A job that is sent again to an idle entry is not answered as not run
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When 1 s pass
    And job "a" of 1 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And 0.02 s pass
    And entry 0 abandons all jobs
    And 1.3 s pass
    And job "a" of 1 tasks of 1800 ms is submitted to entry 1, whose caller waits 1 s
    And 1.1 s pass
    Then job "a" is unfinished at entry 1

  # Guards against a job that waits for an agent that has long been back.
  Scenario: A job begins soon after a lost agent is back, at an entry without a stream to it
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When targets 0 to 0 become unreachable from entry 1
    And job "a" of 12 tasks of 200 ms is submitted to entry 0, whose caller waits 2 s
    And 0.02 s pass
    And agent 0 is killed and restarts after 0.9 s
    And 0.8 s pass
    And the caller of job "a" disconnects from entry 0
    And 1.3 s pass
    And job "a" of 12 tasks of 200 ms is submitted to entry 1
    And 20 s pass
    Then no task ever had two runs at the same time
    And the response to job "a" took at most 5 s

  # Guards against a job that waits for as long as an agent is back without its
  # target.
  Scenario: A job waits no longer than a start may be late for an agent that is back without its target
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 12 tasks of 200 ms is submitted to entry 0, whose caller waits 2 s
    And 0.1 s pass
    And simulated target 0 stops sending responses
    And agent 0 is killed and restarts after 0.5 s
    And 3.2 s pass
    And job "a" of 12 tasks of 200 ms is submitted to entry 1, whose caller waits 60 s
    And 18 s pass
    Then job "a" is completed at entry 1
