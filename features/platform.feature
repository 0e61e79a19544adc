Feature: The adapter to the users' platform

  Scenario Outline: A heartbeat that can't be read names no target
    When a heartbeat comes with <change>
    Then it is answered with <status> and <count> targets are known

    Examples:
      | change             | status | count |
      | nothing changed    | 200    | 1     |
      | no capacity        | 400    | 0     |
      | an unknown state   | 400    | 0     |
      | a text for a count | 400    | 0     |
      | bytes of no JSON   | 400    | 0     |

  Scenario Outline: Callers are answered in the platform's terms
    Given an ingress that <state>
    When a caller sends <request>
    Then the answer is <status> with <detail>

    Examples:
      | state                    | request            | status | detail            |
      | knows no configuration   | a best-effort job  | 503    | Retry-After       |
      | completes all jobs       | a best-effort job  | 200    | state completed   |
      | fails all jobs           | a best-effort job  | 200    | state failed      |
      | runs no job              | a best-effort job  | 503    | Retry-After       |
      | leaves jobs unfinished   | a best-effort job  | 504    | no Retry-After    |
      | stores all jobs          | a job to be kept   | 200    | state stored      |
      | runs no job              | a job to be kept   | 503    | Retry-After       |
      | leaves jobs unfinished   | a job to be kept   | 504    | no Retry-After    |
      | has no store             | a look at a kept job        | 503 | Retry-After |
      | has no store             | a cancel of a kept job      | 503 | Retry-After |
      | completes all jobs       | a look at a kept job        | 200 | state completed |
      | completes all jobs       | a cancel of a kept job      | 200 | a kept cancel |
      | completes all jobs       | a gang             | 503    | Retry-After       |
      | completes all jobs       | a recurring job    | 503    | Retry-After       |
      | completes all jobs       | a job for advice   | 503    | Retry-After       |
      | completes all jobs       | a job of no steps  | 400    | no Retry-After    |
      | completes all jobs       | a job out of order | 400    | no Retry-After    |
      | completes all jobs       | an unknown queue   | 404    | no Retry-After    |
      | completes all jobs       | a look at a queue  | 200    | pending           |
      | completes all jobs       | a look at a job    | 410    | no Retry-After    |
      | completes all jobs       | a look at a job under way   | 200 | state running |
      | completes all jobs       | a cancel of a job under way | 200 | a cancel      |
      | completes all jobs       | a cancel of no job          | 410 | no Retry-After |
      | is about to stop         | a best-effort job  | 200    | Connection: close |

  Scenario: A caller that leaves takes its job along
    Given an ingress that answers nothing
    When a caller sends a best-effort job and leaves
    Then the job was given up for that caller

  Scenario: The longest prefix of a path names the queue
    Given queues with the prefixes "/a/" and "/a/b/"
    Then the path "/a/b/0011" leads to the queue "/a/b/"
    And the path "/a/0011" leads to the queue "/a/"

  Scenario: An older answer of the store changes nothing
    Given a store that answers with revision 9, then 4, then 12
    When the operators' settings are followed for 3 readings
    Then the revisions adopted are 9 and 12

  Scenario: History that the store has forgotten is read anew
    Given a store whose history is gone after revision 5
    When the operators' settings are followed until revision 8
    Then the revisions adopted are 5 and 8

  Scenario: A configuration that can't be read leaves the last one in force
    Given a store whose second configuration can't be read
    When the operators' settings are followed until the second one
    Then the revisions adopted are 3 and nothing else

  Scenario: A newer configuration is never replaced by an older one
    Given a site state of version 7 at revision 40
    When one of version 6 at revision 41 is offered
    Then version 7 stays in force

  Scenario: A connection that went silent costs one call
    Given a server that never answers on its first connection
    When two calls are made one after another
    Then the first fails as sent and the second is answered

  Scenario: A refused connection is known to have carried nothing
    Given no server
    When a call is made
    Then it fails as not sent

  Scenario: A runner that saw a higher fencing token is followed
    Given a runner that saw the fencing token 5000
    When a lease is renewed twice with a token of 100
    Then the second renewal carries a token of 5000 or more

  Scenario: A start without an answer is unknown, a late one is rejected
    Given a runner that answers starts with nothing, then "late", then "old"
    When three starts are sent
    Then they are unknown, rejected and number_too_low

  Scenario: A process tells its counters, levels and latencies
    Given an entry that has answered a job
    When its metrics are asked for
    Then they hold "fulmarscale_events_total{event="JOB_REJECTED"}"
    And they hold "fulmarscale_level{kind="jobs"}"
    And they hold "fulmarscale_response_seconds_bucket{le="0.005"} 1.0"

  Scenario Outline: An agent that starts again finds its target by its row
    Given a store whose row of the agent is <row>
    When the agent looks for its row
    Then it finds <found>

    Examples:
      | row        | found     |
      | whole      | a target  |
      | not there  | nothing   |
      | garbled    | nothing   |
      | no answer  | nothing   |

  Scenario: A runner is called without a lease while its clock is unknown
    Given a runner that saw the fencing token 5000
    When a former life's target is renewed twice
    Then the first renewal extends no lease and the second does

  Scenario Outline: The deploy templates give settings that are valid
    When the template "<template>" is filled as the platform does
    Then it is valid for the program "<program>"

    Examples:
      | template              | program |
      | deploy/entry.json.tmpl | entry  |
      | deploy/agent.json.tmpl | agent  |

  Scenario: A settings file that changes is in force without a restart
    Given an agent's settings file with the store at "10.0.0.1:80"
    When the file names the store at "10.0.0.2:80"
    Then the change is applied
    When the file is cut short
    Then nothing is applied

  Scenario: A job passes through an entry, a stream and an agent to a runner
    Given an entry, an agent and a scripted runner on loopback
    When a job of 3 tasks is handed in to the entry
    Then it is completed and the runner was told to start 3 tasks
    And the agent's answer to a stop is that it holds no runs

  Scenario: A kept job passes through the store and all processes
    Given an entry, an agent and a scripted runner on loopback
    When a job of 3 tasks is kept by the entry
    Then it is stored, and then completed after 3 starts

  Scenario: Questions about kept jobs cost nothing where there are none
    Given an entry, an agent and a scripted runner on loopback
    When a caller asks an entry without kept jobs for a queue's count
    Then the count is 0 and the entry holds no lease in the store

  Scenario Outline: A cancel of another entry's job ends in any case
    Given an entry, an agent and a scripted runner on loopback
    When a job is cancelled whose row is <state>
    Then the cancel ends with <result>

    Examples:
      | state      | result      |
      | whole      | success     |
      | garbled    | no such job |
      | in dispute | no store    |

  Scenario Outline: Nobody is told of a stored job that it will not run
    Given an entry, an agent and a scripted runner on loopback
    When a job that is <state> is handed in to be kept when none can be served
    Then its caller is told <outcome>

    Examples:
      | state          | outcome    |
      | new            | not_run    |
      | stored already | stored     |
      | unknown        | unfinished |

  Scenario Outline: The answer to a transaction is taken for no more than it says
    When a transaction is sent to a store that <state>
    Then it is <status> and the row holds <value>

    Examples:
      | state               | status   | value   |
      | is sound            | applied  | text    |
      | has the row already | conflict | text    |
      | is busy             | refused  | nothing |
      | is silent           | unknown  | nothing |
      | is loses_answers    | unknown  | text    |
