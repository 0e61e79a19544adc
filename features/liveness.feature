Feature: The site serves again in time, under virtual time

  Scenario: A dead entry's keys serve again within 5 seconds
    Given a steady virtual site of 3 entries
    When virtual entry 0 is killed for good
    Then new submissions of its keys are served within 5 seconds

  Scenario: A change is in force everywhere within 4 seconds
    Given a steady virtual site of 3 entries
    When a data centre is taken out at virtual entry 1
    Then every entry and agent follows it within 4 seconds

  Scenario: All entries are replaced at once under their old names
    Given a steady virtual site of 3 entries
    When all virtual entries are killed and start again
    Then new submissions are served within 15 seconds

  Scenario: All entries are lost at once and come back under new names
    Given a steady virtual site of 3 entries
    When all virtual entries are killed and others start under new names
    Then no new entry has a lease after 20 seconds
    When the operator says that the old ones are gone
    Then new submissions are served within 15 seconds

  Scenario: The table is down and all processes reach each other
    Given a steady virtual site of 3 entries
    When the virtual table is down for 60 seconds
    Then every submission meanwhile was done

  Scenario: The table is down and an entry dies
    Given a steady virtual site of 3 entries
    When the virtual table is down
    And virtual entry 0 is killed for good
    Then no entry has a lease 3 seconds later
    When the virtual table is up
    Then new submissions are served within 15 seconds

  Scenario: Contract limits hold while the quota's holder joins and leaves
    Given a virtual site with a contract of 50 tasks a second
    When more is asked for while entries leave and come back
    Then never more was started than the contract allows
    And at least 95 % of the contract was used

  Scenario: Records that are handed over during a search stay as they are
    Given a steady virtual site of 3 entries
    When a submission is handed over to an entry that searches for it
    Then the entry keeps the answer that was handed over
