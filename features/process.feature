Feature: Streams and failures of an entry process

  Scenario: Unused streams to removed entries are closed
    Given an entry process without peers
    When it sends a message to an entry that is not on the entry list
    Then the stream stays open at first and is closed after 60 unused seconds

  Scenario: An exception in the decision code marks the process as failed
    Given an entry process without peers
    When its decision code raises an exception
    Then the process is marked as failed and has logged event 901
