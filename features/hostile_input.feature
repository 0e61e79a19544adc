Feature: Hostile and broken input

  @site.2.1.1
  Scenario: Every bad request gets a clear numbered error and nothing is lost
    Then these submissions are refused
      | what                       | status | code |
      | no key                     | 401    | 4006 |
      | a wrong key                | 401    | 4006 |
      | the operators' key         | 401    | 4006 |
      | no id                      | 400    | 4003 |
      | an id that is no UUIDv7    | 400    | 4003 |
      | an id in upper case        | 400    | 4003 |
      | an id an hour in advance   | 425    | 4004 |
      | an empty body              | 400    | 4001 |
      | random bytes               | 400    | 4001 |
      | a deeply nested body       | 400    | 4001 |
      | an unknown field           | 400    | 4001 |
      | no tasks                   | 400    | 4001 |
      | too many tasks             | 413    | 4002 |
      | a payload that is too long | 413    | 4002 |
      | a body that is too long    | 413    | 4002 |
      | a deadline of 0            | 400    | 4001 |
      | a deadline of an hour      | 400    | 4001 |
      | a kind with spaces         | 400    | 4001 |
      | dispatch notes as idempotent | 422  | 4008 |
    And random bodies are refused with a numbered error
    And bytes that are no protocol do not stop an entry
    And an agent with a wrong secret is not let in
    And a job of another customer stays its own
    And an id with another body is refused
    And an id of an hour ago has an unknown outcome
    And no task was started but those of good jobs
    When a job of 10 tasks of 10 ms is submitted to entry 0
    Then its outcome is "done" with 10 results

  @site.1.1.1
  Scenario: Operators' mistakes are refused with a numbered error
    Then these operators' requests are refused
      | what                          | status | code |
      | a customer's key              | 401    | 4006 |
      | no version                    | 428    | 5002 |
      | an old version                | 412    | 5001 |
      | an unknown state              | 422    | 5003 |
      | a contract without keys       | 422    | 5003 |
      | an unknown customer           | 404    | 5004 |
      | an unknown route              | 404    | 7001 |
    And an unknown agent can't be drained
