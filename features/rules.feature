Feature: Each safety rule is necessary
  A rule is removed from the code, and a simulation that needs it must then
  violate an invariant. With the rule, the same scripted run violates none.

  Scenario Outline: A scripted run violates an invariant without the rule: <rule>
    When the scripted run for "<rule>" is simulated
    Then no invariant is violated
    When the scripted run for "<rule>" is simulated without the rule
    Then an invariant is violated

    Examples:
      | rule                               |
      | wait at take-over                  |
      | token at the agent                 |
      | token held before the confirmation |
      | incarnation of a token             |
      | fence of removed entries           |
      | promises of all peers              |
      | acknowledgement of a joiner        |
      | promise of a joiner                |
      | no promise to a removed entry      |
      | no promise during a change         |
      | no use of promises during a change |
      | change adopted before promises     |
      | closed data centre at the start    |
      | drain at the start                 |
      | list version only up               |
      | no skipped list version            |
      | no new record during a hand-over   |
      | lease for a refusal                |
      | no start after a pause             |
      | recovered tasks leave the queue    |
      | age limit of records               |

  Scenario Outline: Random faults violate an invariant without the rule: <rule>
    When seeds 0 to 15 are simulated with "mixed" faults and without the rule "<rule>"
    Then some simulation violates an invariant or completes no probe

    Examples:
      | rule                                 |
      | age of an id without a record        |
      | start record                         |
      | tasks of a replaced agent unknown    |
      | closure version only up              |
      | configuration adopted before a lease |

  Scenario: Every rule is tested
    Then each rule has a scripted run or random simulations
