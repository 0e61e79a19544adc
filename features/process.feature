Feature: What an entry process holds on to

  Scenario: Streams to entries that are gone are ended
    Given an entry process on its own
    When it has sent something to an entry that is not on the list
    Then the stream is kept at first and ended 60 seconds later

  Scenario: A process whose decisions fail ends
    Given an entry process on its own
    When its decisions raise an error
    Then the process has failed and logged event 901
