Feature: Clients whose bytes cost more than they weigh
  Clients crowd one listener of a real process with bytes that cost it much
  work, or leave many objects, for their number. Nothing closes their
  connections but the process. A VM has 96 MB; callers may have 1,000
  connections; the limit of a body is 4 MB.

  # Guards against a process that reads a hostile client for as long as it
  # sends, and against objects that no budget counts.
  Scenario Outline: A crowd that sends <kind> leaves the <role> serving at its <listener>
    Given a site of small VMs
    When a crowd begins to send <kind> to the <listener> of the <role>
    Then an ordinary job is done while the crowd sends and afterwards
    And the process has stayed within the memory of its VM

    Examples: HTTP
      | role  | listener   | kind                 |
      | entry | callers    | chunks of one byte   |
      | entry | callers    | chunks of five bytes |
      | entry | readiness  | chunks of five bytes |
      | agent | heartbeats | chunks of one byte   |
      | agent | heartbeats | chunks of five bytes |
      | entry | callers    | heads of 200 lines and unread answers |
      | entry | callers    | heads of 250 lines that don't end |
      | entry | callers    | pipelined requests and unread answers |
      | entry | callers    | jobs of a hundred thousand tasks      |
      | entry | callers    | jobs of ten thousand tasks            |
      | entry | callers    | jobs of a thousand steps after all others |
      | entry | callers    | jobs with ids of 15,000 bytes         |
      | entry | metrics    | requests for metrics                  |
      | agent | metrics    | requests for metrics                  |

    Examples: HTTP/2
      | role  | listener | kind                             |
      | agent | streams  | streams that are reset           |
      | agent | streams  | pings and unread answers         |
      | agent | streams  | settings and unread answers      |
      | agent | streams  | streams of 7 KB of header fields |
      | agent | streams  | streams of 1,700 header fields   |
      | agent | streams  | settings without a meaning       |
      | agent | streams  | frames of 16 MB                  |
      | agent | streams  | empty frames                     |
      | agent | streams  | frames of an unknown type        |
      | agent | streams  | messages of no bytes             |
      | agent | streams  | sessions that read nothing       |
      | agent | streams  | messages that stop short         |
      | agent | streams  | messages with many requests      |

  # Guards against a comparison of all connections for each new one.
  Scenario Outline: Clients that connect without end leave the <role> serving at its <listener>
    Given a site of small VMs with 3000 connections of callers
    When 12000 clients begin to connect to the <listener> of the <role>
    Then an ordinary job is done while the crowd sends and afterwards
    And the process has stayed within the memory of its VM

    Examples:
      | role  | listener   |
      | entry | callers    |
      | agent | heartbeats |
      | agent | streams    |

  @site.1.1.1
  Scenario Outline: On the own path, a crowd that has sent <kind> leaves the entry serving at its <listener>
    Given the own path's entry for a hostile crowd
    When a crowd has sent <kind> to the <listener> of the own entry
    Then an ordinary submission to the own path is done
    And the process has grown by at most 48 MB

    Examples:
      | listener | kind                                  |
      | callers  | chunks of one byte                    |
      | callers  | heads of 200 lines and unread answers |
      | streams  | streams that are reset                |
      | streams  | pings and unread answers              |
      | streams  | streams of 1,700 header fields        |
      | streams  | messages of no bytes                  |
