Feature: Recovery within time limits, under virtual time
  A simulated site completes submissions again within a bounded time after
  entries or the platform's table have failed, and after a change.

  Scenario: Submissions for the keys of a dead entry are done again within 5 seconds
    Given a simulated site of 3 entries in steady state
    When simulated entry 0 is killed permanently
    Then new submissions for its keys are done again within 5 seconds

  Scenario: A change of a data centre is adopted everywhere within 4 seconds
    Given a simulated site of 3 entries in steady state
    When a data centre is taken out of service at simulated entry 1
    Then every entry and agent adopts the change within 4 seconds

  Scenario: Submissions are done again after all entries restart under their old names
    Given a simulated site of 3 entries in steady state
    When all simulated entries are killed and restarted
    Then new submissions are done again within 15 seconds

  Scenario: Entries that replace all others under new names wait for the operator's confirmation
    Given a simulated site of 3 entries in steady state
    When all simulated entries are killed and replaced under new names
    Then no new entry has a lease after 20 seconds
    When the operator confirms that the old entries are gone
    Then new submissions are done again within 15 seconds

  Scenario: Submissions are done while only the table is down
    Given a simulated site of 3 entries in steady state
    When the simulated platform table is down for 60 seconds
    Then every submission during the outage was done

  Scenario: All leases expire when an entry dies while the table is down
    Given a simulated site of 3 entries in steady state
    When the simulated platform table is down
    And simulated entry 0 is killed permanently
    Then no entry has a lease 3 seconds later
    When the simulated platform table is up
    Then new submissions are done again within 15 seconds

  Scenario: Contract limits hold while the holder of the quota changes
    Given a simulated site with a contract of 50 tasks a second
    When load above the contract is submitted while entries shut down gracefully and restart
    Then starts never exceeded the rate and burst of the contract
    And at least 95 % of the contract's rate was used

  Scenario: A record that is handed over during its recovery is kept unchanged
    Given a simulated site of 3 entries in steady state
    When the record of a submission is handed over to an entry that is recovering it
    Then the entry keeps the response that was handed over
