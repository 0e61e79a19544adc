Feature: Logs under load
  Lines go to a pipe without blocking. What it doesn't take is kept in a
  bounded buffer.

  # Guards against lines that are lost though the pipe is soon read again.
  Scenario: A burst that the pipe does not take at once is written later
    Given a log on a pipe of 4096 bytes
    When 500 lines, the last one a warning, are logged at once in an event loop
    And a slow reader reads the pipe
    Then all 500 lines are read, in order

  # Guards against warnings that are lost in a burst of routine lines.
  Scenario: A full buffer drops routine lines before changes and warnings
    Given a log on a pipe of 4096 bytes
    When 5000 lines, every 50th a change or a warning, are logged at once in an event loop
    And a slow reader reads the pipe
    Then every change and warning is read, in order
    And LINES_DROPPED counts the missing lines, with process, time and level

  # Guards against lines that are lost as their process ends.
  Scenario: The last lines are written when the log is closed
    Given a log on a pipe of 65536 bytes
    When 400 lines, the last one a warning, are logged at once in an event loop
    And the pipe is read once and the log is closed
    Then all 400 lines are read, in order

  # Guards against a process that ends or stands still as nobody reads its log.
  Scenario Outline: A log never ends or blocks its process
    Given a log on <output>
    When 5000 lines, the last one a warning, are logged at once in an event loop
    Then closing the log leaves <count> lines there

    Examples:
      | output                | count |
      | a regular file        | 5000  |
      | a pipe nobody reads   | some  |
      | a pipe without reader | no    |
      | a closed descriptor   | no    |
      | a connection in use   | some  |

  # Guards against warnings that are logged at the level of routine lines.
  Scenario Outline: The level of a line is that of its event
    Given a log on a pipe of 4096 bytes
    When a line of <event> is logged
    Then its level is <level>

    Examples:
      | event            | level   |
      | JOB_ENDED        | info    |
      | AGENT_CONNECTED  | info    |
      | RUN_CUT_SHORT    | warning |
      | UNEXPECTED_ERROR | error   |
