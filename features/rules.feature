Feature: Each safety rule earns its place
  A rule is removed, and the run that it is meant for must then break a
  promise; with the rule, the same run breaks none.

  Scenario Outline: Scripted run for: <rule>
    When the case of "<rule>" runs
    Then no promise is broken
    When the case of "<rule>" runs without the rule
    Then a promise is broken

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

  Scenario Outline: Runs with faults by chance for: <rule>
    When seeds 0 to 15 run with "mixed" faults without "<rule>"
    Then some run breaks a promise or serves nothing

    Examples:
      | rule                                 |
      | age of an id without a record        |
      | start record                         |
      | tasks of a replaced agent unknown    |
      | closure version only up              |
      | configuration adopted before a lease |

  Scenario: Every rule is tested
    Then each rule has a scripted run or runs by chance
