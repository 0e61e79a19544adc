Feature: Settings, documentation, TLS, command line and reports

  Scenario: Documented examples are valid settings
    Then every example in etc is accepted by its program

  Scenario Outline: An error in the settings names the invalid field
    When <program> checks settings with <field> set to <value>
    Then it exits with code 3 and its error names "<path>"

    Examples:
      | program      | field          | value             | path             |
      | fulmar-entry | colour         | "red"             | colour           |
      | fulmar-entry | name           | 7                 | $.name           |
      | fulmar-entry | drain_s        | -1                | $.drain_s        |
      | fulmar-entry | stream_address | "10.0.0.300:7400" | $.stream_address |
      | fulmar-entry | http_address   | "localhost:80"    | $.http_address   |
      | fulmar-entry | data_centre    | "Vest A"          | $.data_centre    |
      | fulmar-entry | secret         | "short"           | $.secret         |
      | fulmar-agent | target_url     | "ftp://x"         | $.target_url     |
      | fulmar-agent | records        | 0                 | $.records        |

  Scenario: The documented result codes and events match the code
    Then docs/ERRORS.md lists every result code
    And docs/EVENTS.md lists every event
    And every result code and event is used

  Scenario: The burn rate is the share of missed objectives over the allowed share
    Then 2 of 100 jobs that miss an objective of 0.99 give a burn rate of 2.0
    And 30 of 100 jobs that miss their objective in all windows raise an alert

  @tls_site.2.2.2
  Scenario: TLS protects HTTP, streams and calls to the platform
    When a job of 10 tasks of 10 ms is submitted to entry 0
    Then its outcome is "done" with 10 results
    When the same job is submitted to entry 1
    Then it gets the same response
    And a client that does not trust the certificate authority cannot connect
    And an agent without a certificate cannot join

  @site.2.2.2
  Scenario: Operators manage the site from the command line
    When "contract list" is run
    Then it prints "fjaervik"
    When "contract show lautoka --json" is run
    Then it prints "response_share"
    When "data-centre out vest-b --wait" is run
    Then it prints "in force everywhere"
    When "data-centre list" is run
    Then it prints "out"
    When "contract set lautoka CONTRACT --version 7" is run
    Then it exits with code 4 and prints "now it is"
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
    When the burn rate report is generated
    Then the report shows "lautoka" in text, JSON and HTML
    And no log contains a key or a payload
    And the metrics follow the naming conventions of Prometheus
