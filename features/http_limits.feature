Feature: Bounds of requests, decided from their bytes alone
  Any split of the bytes into pieces gives the same verdict. Offers of any
  size and order keep the bytes that a process holds under its budget.

  Scenario: The verdict on any bytes is the same however they are split
    Then any bytes give the same verdict in any pieces

  Scenario: The end of a sound request is found however it is split
    Then any sound requests are told apart in any pieces

  Scenario: Requests get the same responses however they are split
    Then any requests get the same responses in any pieces
    And any sound requests get those of a connection without bounds

  Scenario: The bytes that are held stay under the budget
    Then any claims leave the budget kept and complete requests served

  # Guards against refusals that follow a response or end others' requests.
  Scenario: A complete request is never displaced
    Given a listener with a budget of 1 MB
    When a request whose body follows its head is being handled
    And requests of 50,000 bytes come until one is refused
    Then each accepted request is answered
    And no accepted request is followed by a refusal

  Scenario: Displaced bytes behind complete requests leave these alone
    Given a listener with a budget of 2 MB
    When 455 connections hold a complete request and a byte of the next
    And a request comes that lacks 400 bytes of room
    Then the budget counts what the connections hold
    And each accepted request is answered

  # Guards against a process that reads on while nobody else holds anything.
  Scenario: A connection that is alone holds no more than the budget
    Given a listener with a budget of 1 MB
    When one connection sends requests without end behind one being handled
    Then the budget is kept

  # Guards against connections at rest that stay without end or are refused.
  Scenario Outline: A connection is at rest after <what>
    Given a listener with a budget of 1 MB
    When a connection has sent <what>
    Then it is at rest, with a limit of time

    Examples:
      | what                                  |
      | a request and an empty line           |
      | a request, and an empty line later    |
      | a body after the response to its head |
      | nothing but an empty line             |

  # Guards against refusals of bodies that nobody has sent.
  Scenario: Small bodies in chunks don't need the room of the largest ones
    Given a listener with a budget of 10 MB
    Then 150 small bodies in chunks are served at the same time

  # Guards against clients that keep a connection by reading a byte at times.
  Scenario: A client has to read its answers at the least rate
    Then a client that reads 1 bytes a second is overdue after 11 s
    And a client that reads 5000 bytes a second is overdue after 21 s
    And a client that reads 10000 bytes a second is never overdue

  # Guards against connections that nobody else gets while answers wait.
  Scenario: Connections whose answers aren't read make room
    Given a listener with 10 connections
    When 60 clients read nothing of their answers
    Then an ordinary request is answered

  # Guards against callers that take the descriptors for agents and the store.
  Scenario Outline: Connections of callers leave descriptors for everything else
    Given the settings of an entry with <max_fds> descriptors
    Then its callers get at most <connections> connections

    Examples:
      | max_fds | connections |
      | 1638    | 1038        |
      | 4100    | 3000        |
