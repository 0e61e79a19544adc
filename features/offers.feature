Feature: Offers of a target's free capacity to the entries that wait for it
  Decisions of an agent without a network, while one queue at 2.4 times its
  usual rate competes with two others for a target that is full.

  Scenario: The most urgent class of any entry is offered capacity first
    Given 6 entries of which 2 have jobs of priority 0 waiting and 4 of priority 2
    When capacity is freed 70 times and used at once
    Then priority 0 gets at least 60 of the offers

  Scenario: The least urgent class is slowed, not starved
    Given 6 entries of which 2 have jobs of priority 0 waiting and 4 of priority 2
    When capacity is freed 70 times and used at once
    Then priority 2 gets at least 5 of the offers

  Scenario: Without priorities the latest start decides
    Given 6 entries without priorities whose jobs have different latest starts
    When capacity is freed 10 times and used at once
    Then the entry with the earliest latest start gets all offers

  Scenario: An entry that is lost halfway leaves its offer to the next
    Given 6 entries of which 2 have jobs of priority 0 waiting and 4 of priority 2
    When capacity is freed and the entry that it is offered to is lost
    Then another entry of priority 0 is offered it after 12 ms

  Scenario: A message tells the other entries' demand by class
    Given 6 entries of which 2 have jobs of priority 0 waiting and 4 of priority 2
    Then an entry of priority 0 learns of 1000 millicores of its class and 4000 of the other
