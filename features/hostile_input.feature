Feature: Hostile and malformed input
  Callers, operators, agents and unknown peers send invalid input to a site
  of separate processes. A tag site.E.T.D starts E entries, T targets with an
  agent each, and D data centres.

  @site.2.1.1
  Scenario: Invalid submissions are rejected with an error code and valid jobs still complete
    Then these submissions are rejected
      | fault                      | status | code |
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
    And random bodies are rejected with an error code
    And random bytes on its listeners do not stop an entry
    And an agent with a wrong secret cannot join
    And a customer can neither reuse the id nor read the job of another customer
    And an id that is reused with another body is rejected
    And a submission with an id minted an hour ago ends as outcome_unknown
    And only the tasks of valid jobs were started
    When a job of 10 tasks of 10 ms is submitted to entry 0
    Then its outcome is "done" with 10 results

  @site.1.1.1
  Scenario: Invalid operator requests are rejected with an error code
    Then these operator requests are rejected
      | fault                         | status | code |
      | a customer's key              | 401    | 4006 |
      | no version                    | 428    | 5002 |
      | an old version                | 412    | 5001 |
      | an unknown state              | 422    | 5003 |
      | a contract without keys       | 422    | 5003 |
      | an unknown customer           | 404    | 5004 |
      | an unknown route              | 404    | 7001 |
    And an unknown agent can't be drained
