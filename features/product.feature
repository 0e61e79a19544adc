Feature: The parts of a product

  Scenario: Documented examples are valid settings
    Then every example in etc is accepted by its program

  Scenario Outline: A fault in the settings is named with its place
    When <program> checks settings with <field> set to <value>
    Then it ends with exit code 3 and names "<place>"

    Examples:
      | program      | field          | value             | place            |
      | fulmar-entry | colour         | "red"             | colour           |
      | fulmar-entry | name           | 7                 | $.name           |
      | fulmar-entry | drain_s        | -1                | $.drain_s        |
      | fulmar-entry | stream_address | "10.0.0.300:7400" | $.stream_address |
      | fulmar-entry | http_address   | "localhost:80"    | $.http_address   |
      | fulmar-entry | data_centre    | "Vest A"          | $.data_centre    |
      | fulmar-entry | secret         | "short"           | $.secret         |
      | fulmar-agent | target_url     | "ftp://x"         | $.target_url     |
      | fulmar-agent | records        | 0                 | $.records        |

  Scenario: Tables in the documents agree with the code
    Then docs/ERRORS.md lists every result code
    And docs/EVENTS.md lists every event
    And every result code and event is used

  Scenario: Burn is the share of broken promises over the share allowed
    Then 2 broken of 100 against a promise of 0.99 burn at 2.0
    And 30 broken of 100 in all windows raise an alert

  @tls_site.2.2.2
  Scenario: TLS protects HTTP, streams and the platform
    When a job of 10 tasks of 10 ms is submitted to entry 0
    Then its outcome is "done" with 10 results
    When the same job is submitted to entry 1
    Then it gets the same answer
    And a client without the authority is refused
    And a stream without a certificate is refused

  @site.2.2.2
  Scenario: Operators work from the command line
    When "contract list" is run
    Then it prints "fjaervik"
    When "contract show lautoka --json" is run
    Then it prints "response_share"
    When "data-centre out vest-b --wait" is run
    Then it prints "in force everywhere"
    When "data-centre list" is run
    Then it prints "out"
    When "contract set lautoka CONTRACT --version 7" is run
    Then it ends with exit code 4 and prints "now it is"
    When "contract set lautoka CONTRACT" is run
    Then it prints "version"
    When "job submit JOB" is run
    Then it prints "done, code 0"
    When the job is shown and cancelled from the command line
    Then it prints "done, code 0"
    When "drain agent-0" is run
    Then it prints "draining"
    When "status" is run
    Then it prints "draining"
    When "drain agent-0 --undo" is run
    Then it prints "serving"
    When "status --json" is run
    Then it prints "configuration_version"
    When the burn report is made
    Then it shows "lautoka" in text, JSON and HTML
    And no log holds a key or a payload
    And the metrics follow Prometheus' conventions
