Feature: Clients that nobody controls
  Clients that keep to no limit crowd one listener of a real process. 24 of
  them send up to 4 MB each, or 400 connect, and none closes its connection.
  The limit of a body is 4 MB; callers may have 50 connections.

  # Guards against a process that holds what such clients send, without end.
  Scenario Outline: A crowd with <fault> leaves the <listener> of an <role> serving
    Given a site for a hostile crowd
    When a crowd with <fault> is at the <listener> of the <role>
    Then an ordinary request to the <listener> of the <role> is answered
    And the process keeps at most 8 connections of the crowd
    And the process has grown by at most 48 MB

    Examples:
      | role  | listener   | fault                                 |
      | entry | callers    | empty lines without end               |
      | entry | callers    | a request line without end            |
      | entry | callers    | a header line without end             |
      | entry | callers    | header lines without end              |
      | entry | callers    | a trailer line without end            |
      | entry | callers    | trailer lines without end             |
      | entry | callers    | a chunk size without end              |
      | entry | callers    | a chunk extension without end         |
      | entry | callers    | bodies that stop short                |
      | entry | callers    | bodies in pieces that stop short      |
      | entry | callers    | bodies for no queue that stop short   |
      | entry | readiness  | header lines without end              |
      | entry | readiness  | bodies that stop short                |
      | entry | metrics    | trailer lines without end             |
      | agent | heartbeats | empty lines without end               |
      | agent | heartbeats | header lines without end              |
      | agent | heartbeats | trailer lines without end             |
      | agent | heartbeats | bodies that stop short                |
      | agent | metrics    | bodies in pieces that stop short      |
      | agent | streams    | a message that stops short            |

  # Guards against answers and requests that pile up behind an unread answer.
  Scenario Outline: A crowd that reads no answer leaves the <listener> of an <role> serving
    Given a site for a hostile crowd
    When a crowd with unread answers is at the <listener> of the <role>
    Then an ordinary request to the <listener> of the <role> is answered
    And the process has grown by at most 48 MB

    Examples:
      | role  | listener   |
      | entry | callers    |
      | entry | metrics    |
      | agent | heartbeats |

  # Guards against descriptors that are all taken by connections at rest.
  Scenario Outline: Connections that send <what> leave the <listener> of an <role> serving
    Given a site for a hostile crowd
    When 400 connections that send <what> are at the <listener> of the <role>
    Then an ordinary request to the <listener> of the <role> is answered
    And the process keeps at most 200 connections of the crowd
    And the process has grown by at most 48 MB

    Examples:
      | role  | listener   | what     |
      | entry | callers    | nothing  |
      | entry | callers    | one byte |
      | entry | metrics    | nothing  |
      | agent | heartbeats | nothing  |
      | agent | heartbeats | one byte |
      | agent | streams    | nothing  |

  # Guards against a process that waits for such clients when it stops.
  Scenario Outline: An <role> stops while a crowd with <fault> is at its <listener>
    Given a site for a hostile crowd
    When a crowd with <fault> is at the <listener> of the <role>
    And the <role> is asked to stop
    Then the process has ended by itself

    Examples:
      | role  | listener   | fault                            |
      | entry | callers    | a slow body                      |
      | agent | heartbeats | a slow body                      |
      | entry | callers    | unread answers and small buffers |
      | entry | metrics    | unread answers and small buffers |

  @site.1.1.1
  Scenario Outline: On the own path, a crowd with <fault> leaves the entry's <listener> serving
    Given the own path's entry for a hostile crowd
    When a crowd with <fault> is at the <listener> of the <role>
    Then an ordinary submission to the own path is done
    And the process keeps at most 8 connections of the crowd
    And the process has grown by at most 48 MB

    Examples:
      | role      | listener | fault                            |
      | own entry | callers  | empty lines without end          |
      | own entry | callers  | a request line without end       |
      | own entry | callers  | a header line without end        |
      | own entry | callers  | header lines without end         |
      | own entry | callers  | trailer lines without end        |
      | own entry | callers  | a chunk extension without end    |
      | own entry | callers  | bodies that stop short           |
      | own entry | callers  | bodies in pieces that stop short |
      | own entry | streams  | a message that stops short       |
