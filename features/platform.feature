Feature: The adapter to the users' platform
  Heartbeats, the ingress for callers, the row store, the runner protocol,
  settings and metrics.

  Scenario Outline: A malformed heartbeat is rejected and registers no target
    When a heartbeat with <change> is received
    Then the heartbeat response has status <status> and <count> targets are registered

    Examples:
      | change                  | status | count |
      | no change               | 200    | 1     |
      | no capacity             | 400    | 0     |
      | an unknown state        | 400    | 0     |
      | a string for a number   | 400    | 0     |
      | a body that is not JSON | 400    | 0     |

  # A job in the request column is submitted with POST. A cancellation in the
  # detail column is one that the job service has received.
  Scenario Outline: Outcomes of calls are mapped to the platform's HTTP responses
    Given an ingress that <state>
    When a caller sends <request>
    Then the response is <status> with <detail>

    Examples:
      | state                  | request                         | status | detail                 |
      | has no configuration   | a best-effort job               | 503    | Retry-After            |
      | completes all jobs     | a best-effort job               | 200    | state completed        |
      | fails all jobs         | a best-effort job               | 200    | state failed           |
      | runs no job            | a best-effort job               | 503    | Retry-After            |
      | leaves jobs unfinished | a best-effort job               | 504    | no Retry-After         |
      | stores all jobs        | a durable job                   | 200    | state stored           |
      | runs no job            | a durable job                   | 503    | Retry-After            |
      | leaves jobs unfinished | a durable job                   | 504    | no Retry-After         |
      | cannot reach the store | a GET for a durable job         | 503    | Retry-After            |
      | cannot reach the store | a DELETE for a durable job      | 503    | Retry-After            |
      | completes all jobs     | a GET for a durable job         | 200    | state completed        |
      | completes all jobs     | a DELETE for a durable job      | 200    | a durable cancellation |
      | completes all jobs     | a gang-scheduled job            | 503    | Retry-After            |
      | completes all jobs     | a recurring job                 | 503    | Retry-After            |
      | completes all jobs     | a job that needs advice         | 503    | Retry-After            |
      | completes all jobs     | a job without steps             | 400    | no Retry-After         |
      | completes all jobs     | a job with a forward dependency | 400    | no Retry-After         |
      | completes all jobs     | a job for an unknown queue      | 404    | no Retry-After         |
      | completes all jobs     | a GET for a queue               | 200    | pending                |
      | completes all jobs     | a GET for an unknown job        | 410    | no Retry-After         |
      | completes all jobs     | a GET for a running job         | 200    | state running          |
      | completes all jobs     | a DELETE for a running job      | 200    | a cancellation         |
      | completes all jobs     | a DELETE for an unknown job     | 410    | no Retry-After         |
      | is shutting down       | a best-effort job               | 200    | Connection: close      |

  Scenario Outline: A caller's disconnect is reported to the job service
    Given an ingress that never responds
    When a caller disconnects after sending a <kind> job
    Then the job service was notified that the caller disconnected

    Examples:
      | kind        |
      | best-effort |
      | durable     |

  # Guards against a job that two entries run, as the first one reads the
  # request after its caller has sent it to the other one.
  Scenario Outline: A request that is read after its caller has left starts nothing
    Given an ingress on loopback that never responds
    When a caller submits a job and <action> before the entry reads it
    Then <count> jobs were submitted

    Examples:
      | action                | count |
      | stays                 | 1     |
      | closes the connection | 0     |
      | resets the connection | 0     |

  # Guards against a job that runs on, as another request waits behind it.
  Scenario: The loss of a connection with a second request withdraws the first
    Given an ingress on loopback that never responds
    When a caller submits two jobs at once and leaves
    Then 1 jobs were submitted
    And the caller of the first job was withdrawn

  Scenario: The longest matching path prefix selects the queue
    Given queues with the path prefixes "/a/" and "/a/b/"
    Then the path "/a/b/0011" is routed to the queue "/a/b/"
    And the path "/a/0011" is routed to the queue "/a/"

  Scenario: An older revision from the store is ignored
    Given a store that returns revision 9, then 4, then 12
    When the operators' configuration is followed for 3 reads
    Then the adopted revisions are 9 and 12

  Scenario: The configuration is read again when the store's change history has expired
    Given a store whose change history has expired after revision 5
    When the operators' configuration is followed until revision 8
    Then the adopted revisions are 5 and 8

  # Guards against 404 by a configuration that the store may have replaced.
  Scenario: A route that an outdated configuration lacks is not reported as missing
    Given an ingress that completes all jobs
    And its configuration was confirmed 2 s ago
    When a caller sends a job for an unknown queue
    Then the response is 503 with Retry-After

  # Guards against a stale read that counts as the newest configuration.
  Scenario: A configuration is confirmed by the change feed, not by a read
    Given a store whose change history has expired after revision 5
    When the operators' configuration is followed until revision 8
    Then it was confirmed 0 times
    Given a store that returns revision 3, and no changes after it
    When the operators' configuration is followed until the first feed
    Then it was confirmed 1 times

  Scenario: A configuration that can't be decoded leaves the last one in effect
    Given a store whose second configuration can't be decoded
    When the operators' configuration is followed until the second one
    Then the adopted revisions are 3 and nothing else

  Scenario: A newer configuration is never replaced by an older one
    Given a site configuration of version 7 at revision 40
    When a site configuration of version 6 at revision 41 is received
    Then version 7 stays in effect

  Scenario: A connection that stops responding fails only one call
    Given a server that never responds on its first connection
    When two calls are made in sequence
    Then the first fails after its request was sent and the second gets a response

  Scenario: A call on a refused connection fails as not sent
    Given an address on which no server listens
    When a call is made
    Then it fails with its request not sent

  Scenario: A runner that starts again is sent a higher fencing token than before
    Given a runner that accepts every renewal
    When its lease is renewed before and after it starts again with a lower clock
    Then the second renewal carries a higher fencing token than the first

  # Guards against late starts of an agent's former process, which a runner would
  # take for those of the present one.
  Scenario: A restarted agent uses a higher fencing token than one not stored in time
    Given a runner that accepts every renewal
    When its lease is renewed before and after it starts again with a lower clock
    Then an agent that has read the first token from its row exceeds the second

  Scenario: A higher fencing token at the runner is adopted for the next renewal
    Given a runner that has received the fencing token 5000
    When a lease is renewed twice, first with a fencing token of 100
    Then the second renewal carries a fencing token of 5000 or more

  # Guards against agents that their targets refuse for good.
  Scenario: A restarted agent is accepted by a runner whose clock has started anew
    Given a runner at time 3000 that has received the fencing token 482114
    When an agent that has read the fencing token 482114 from its row renews a lease
    Then the runner accepts renewal 1
    When an agent whose row could not be read renews a lease 30 times
    Then the runner accepts renewal 30

  # Guards against the loss of a fencing token with the agent that used it.
  Scenario: An agent stores its fencing token with its target
    When an agent writes its row with the fencing token 482114
    Then an agent that starts again reads the fencing token 482114

  # Guards against runs that outlive an agent which was suspended before it sent
  # their lease.
  Scenario: A lease begins when it is decided on and not when it is sent
    Given a runner at time 100 that has received the fencing token 0
    When a start and a renewal are sent 0.5 s after their decision
    Then their leases end within 0.6 s of the runner's time 100

  Scenario: Responses to start requests are mapped to unknown, rejected and number_too_low
    Given a runner that leaves one start request without a response, then rejects one as "late" and one as "old"
    When three start requests are sent
    Then their results are unknown, rejected and number_too_low

  Scenario: A process exports counters, gauges and response times as metrics
    Given an entry that has responded to a job
    When its metrics are scraped
    Then they contain "fulmarscale_events_total{event="JOB_REJECTED"}"
    And they contain "fulmarscale_level{kind="jobs"}"
    And they contain "fulmarscale_response_seconds_bucket{le="0.005"} 1.0"

  # Guards against a late write that hides an agent's target for good.
  Scenario Outline: A late write of an agent's row replaces no newer row
    Given an agent whose <write> gets no answer and is applied 0.8 s late
    When its target is reported and 1.2 s pass
    Then its row names the reported target

    Examples:
      | write                       |
      | first write                 |
      | first write after a restart |
      | last write before a restart |

  # Guards against a change of the row that is forgotten with a failed write.
  Scenario: An agent's row is written after an unexpected error of its write
    Given an agent whose write of its target ends with an unexpected error
    When its target is reported and 1.2 s pass
    Then its row names the reported target

  # Guards against entries that drop an agent until its target's next heartbeat.
  Scenario: The row of a restarted agent names its target before the first heartbeat
    Given an agent that has written its row
    When it starts again and no target is reported for 0.3 s
    Then its row names the target of before

  Scenario Outline: A restarted agent restores its target from its row in the store
    Given a store whose row of the agent is <row>
    When the agent restores its target from the store
    Then it restores <result>

    Examples:
      | row         | result   |
      | valid       | a target |
      | missing     | nothing  |
      | malformed   | nothing  |
      | unavailable | nothing  |

  Scenario: No lease is extended while the runner's clock is unknown
    Given a runner that has received the fencing token 5000
    When the lease of a target known from before an agent restart is renewed twice
    Then the first renewal does not extend the lease and the second does

  Scenario Outline: The deployment templates render valid settings
    When the template "<template>" is rendered as by the platform
    Then the rendered settings are valid for the program "<program>"

    Examples:
      | template              | program |
      | deploy/entry.json.tmpl | entry  |
      | deploy/agent.json.tmpl | agent  |

  Scenario: A changed settings file is applied without a restart
    Given an agent's settings file with the store address "10.0.0.1:80"
    When the store address in the file changes to "10.0.0.2:80"
    Then the change is applied
    When the file is truncated
    Then no change is applied

  Scenario: A best-effort job passes through an entry, a stream and an agent to a runner
    Given an entry, an agent and a scripted runner on loopback
    When a job of 3 tasks is submitted to the entry
    Then it is completed and the runner received start requests for 3 tasks
    And the agent has no runs after its graceful shutdown

  Scenario: A durable job passes through the store and all processes
    Given an entry, an agent and a scripted runner on loopback
    When a durable job of 3 tasks is submitted to the entry
    Then it is stored, then completed after start requests for 3 tasks

  Scenario: Queries about durable jobs take no lease at an entry that has none
    Given an entry, an agent and a scripted runner on loopback
    When a caller queries an entry without durable jobs for a queue's pending jobs
    Then the count is 0 and the entry holds no lease in the store

  Scenario Outline: Cancelling a job of another entry returns for any content of its row
    Given an entry, an agent and a scripted runner on loopback
    When a job whose row is <state> is cancelled
    Then the cancellation ends with <result>

    Examples:
      | state             | result            |
      | valid             | success           |
      | malformed         | no such job       |
      | already cancelled | store unavailable |

  Scenario Outline: A durable job that may be stored is never reported as not run
    Given an entry, an agent and a scripted runner on loopback
    When a durable job that is <state> is submitted while no job can meet its objective
    Then its caller gets the outcome <outcome>

    Examples:
      | state               | outcome    |
      | new                 | not_run    |
      | stored already      | stored     |
      | in an unknown state | unfinished |

  Scenario Outline: A transaction's status is unknown when the store's response is lost
    When a transaction is sent to a store that <state>
    Then the transaction is <status> and the row contains <value>

    Examples:
      | state                    | status   | value   |
      | is healthy               | applied  | text    |
      | has the row already      | conflict | text    |
      | is in mode busy          | refused  | nothing |
      | is in mode silent        | unknown  | nothing |
      | is in mode loses_answers | unknown  | text    |

  # Guards against an older configuration in force once the store is back.
  Scenario: A change is adopted within 3 s after all connections stopped delivering
    Given a store whose connections all stop delivering after 0.5 s
    And 3 idle connections to it beside that of the change feed
    When the operators' configuration changes as the connections stop
    Then the change is adopted within 3 s

  # Guards against the answer of an older configuration to a slow request.
  Scenario: A route that is added while a request's body arrives is served
    Given an ingress that completes all jobs
    When a job is submitted to a route that is added while its body arrives
    Then the response has status 200

  # Guards against a busy process that gives up on a store that responds, and
  # so keeps an outdated configuration.
  Scenario: A process whose event loop lags by 0.2 s gets responses of a new server
    Given a server in a thread of its own that responds at once
    And an event loop that is held up for 0.2 s at each turn
    When a call with a timeout of 1 s is made on a new connection
    Then the call gets a response

  # Guards against entries that stay without an agent for longer each time, until
  # the agent stops their runs.
  Scenario: A stream that an agent closes is opened again at once, each time
    Given an agent that closes each stream soon after its first message
    When an entry keeps a stream to it for 2 s
    Then the entry has opened at least 10 streams
    And no unexpected error is logged
