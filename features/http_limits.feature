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
