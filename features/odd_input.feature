Feature: Odd input from other writers of the platform
  Rows, heartbeats and lists of runs may come from another writer: nested too
  deeply, with numbers too large, or with addresses that don't exist.

  # Guards against a follower that one row ends for good.
  Scenario Outline: An agent's row with <fault> hides neither the others nor later changes
    Given a store with rows of agents, of which one has <fault>
    When the agents are followed until the store has a further row
    Then the agents with sound rows are known, also the further one

    Examples:
      | fault                       |
      | a deeply nested value       |
      | a number too large          |
      | a port of 70000             |
      | a port of -1                |
      | no port                     |
      | bytes that can't be read    |
      | a list in place of a target |

  # Guards against a task whose exception nobody awaits.
  Scenario: Background work that fails is logged and runs again
    Given background work that fails 2 times
    When it runs in the background
    Then it has succeeded after 2 failures in the log

  # Guards against an agent that one heartbeat or list of runs ends for good.
  Scenario Outline: A heartbeat with <fault> is rejected and the next one counts
    When a heartbeat with <fault> is received, and then a sound one
    Then the agent has answered 400 and 200

    Examples:
      | fault                    |
      | a deeply nested value    |
      | a number too large       |
      | a port of 70000          |
      | a name as host           |
      | bytes that can't be read |

  Scenario Outline: A list of runs with <fault> counts as no response
    Given a target whose list of runs has <fault>
    When the agent asks for its runs
    Then the target counts as unreachable

    Examples:
      | fault                      |
      | a deeply nested value      |
      | a run number too large     |
      | a task index too large     |
      | a clock too large          |
      | a position too large       |

  # Guards against a job whose numbers break the streams to all agents.
  Scenario Outline: A job with <fault> is rejected
    When a job with <fault> is submitted on the platform's interface
    Then it is answered 400

    Examples:
      | fault                 |
      | a demand too large    |
      | a memory too large    |
      | a deeply nested value |

  Scenario: A deadline that is not a number is bounded
    Then a deadline of "nan" milliseconds is taken as 60 s
    And a deadline of "-inf" milliseconds is taken as 0 s
    And a deadline of "1e999" milliseconds is taken as 60 s

  # Guards against a stream that goes on without its writer.
  Scenario: A message that can't be encoded ends its stream, which opens again
    Given an agent that accepts streams
    When an entry sends it a message that can't be encoded
    Then the stream was opened 2 times
