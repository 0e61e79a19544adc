Feature: Dispatch of runs under leases, under virtual time
  Entries run the real dispatcher and agents the real run guard. Targets are
  simulated: a task's run time is given by the job, and a target ends its runs
  when its lease ends.

  Scenario: A burst above the capacity never overcommits a target
    Given a simulated site of 2 entries and 3 targets of 16 cores
    When 40 jobs of 4 tasks of 200 ms are submitted at once
    And 10 s pass
    Then no target ever exceeded its capacity
    And no task ever had two runs at the same time
    And every job got a response

  Scenario: Runs of a lost entry end before its caller retries at another entry
    Given a simulated site of 2 entries and 3 targets of 16 cores
    When job "a" of 8 tasks of 4000 ms is submitted to entry 0
    And 0.5 s pass
    And entry 0 is killed
    And 1.3 s pass
    And job "a" of 8 tasks of 1000 ms is submitted to entry 1
    And 5 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

  Scenario: No task has two runs at once after the loss of an agent and then an entry
    Given a simulated site of 2 entries and 2 targets of 16 cores
    When job "a" of 8 tasks of 4000 ms is submitted to entry 0
    And 0.5 s pass
    And agent 0 is killed and restarts after 9 s
    And 0.45 s pass
    And entry 0 is killed
    And 1.3 s pass
    And job "a" of 8 tasks of 1000 ms is submitted to entry 1
    And 5 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

  Scenario: A paused entry starts no run after its caller has retried at another entry
    Given a simulated site of 2 entries and 1 targets of 16 cores
    When job "a" of 20 tasks of 3000 ms is submitted to entry 0
    And 0.2 s pass
    And entry 0 is paused for 4 s
    And 2.0 s pass
    And job "a" of 20 tasks of 1000 ms is submitted to entry 1
    And 2.1 s pass
    And the caller of job "a" disconnects from entry 0
    And 9 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

  Scenario: A job completes although some of its runs are lost in a target's crash
    Given a simulated site of 1 entries and 3 targets of 16 cores
    When job "a" of 12 tasks of 1000 ms is submitted to entry 0
    And 0.5 s pass
    And target 0 crashes and restarts after 20 s
    And 6 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  Scenario: A start request that is executed late causes no duplicate run
    Given a simulated site of 1 entries and 2 targets of 16 cores
    And the next 6 start requests to target 0 are executed 3.0 s late
    When job "a" of 12 tasks of 4000 ms is submitted to entry 0
    And 15 s pass
    Then no task ever had two runs at the same time
    And no target ever exceeded its capacity
    And job "a" is completed at entry 0

  # Guards against a second run while a target may still carry out the start of
  # the first one.
  Scenario: A start that is executed after its agent was lost runs beside no other
    Given a simulated site of 1 entries and 2 targets of 16 cores
    And the next 6 start requests to target 0 are executed 2.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And agent 0 is killed and restarts after 3 s
    And 9 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  # Guards against a second run while a target that can't be reached may still
  # carry out the start of the first one.
  Scenario: A start that is executed while its target is unreachable runs beside no other
    Given a simulated site of 1 entries and 2 targets of 16 cores
    And the next 6 start requests to target 0 are executed 2.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And simulated target 0 stops sending responses
    And 4 s pass
    And simulated target 0 sends responses again
    And 9 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  # Guards against a second run while the first one may go on in the next
  # incarnation of its target.
  Scenario: A start without a response at a restarted target runs beside no other
    Given a simulated site of 1 entries and 3 targets of 16 cores
    When 3.1 s pass
    And target 0 crashes and restarts after 0.05 s
    And simulated target 0 stops sending responses
    And 0.06 s pass
    And job "a" of 24 tasks of 1800 ms is submitted to entry 0
    And 4 s pass
    And simulated target 0 sends responses again
    And 6 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  # Guards against a second entry that starts a task whose first start may still
  # be carried out by a target out of its agent's reach.
  Scenario: A lost entry's start at an unreachable target runs beside no other
    Given a simulated site of 2 entries and 2 targets of 16 cores
    And the next 6 start requests to target 0 are executed 2.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And simulated target 0 stops sending responses
    And 0.1 s pass
    And entry 0 is killed
    And 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1
    And 9 s pass
    Then no task ever had two runs at the same time

  # Guards against a second run of a task whose first start only a former process
  # of the agent knew of, and may still be carried out.
  Scenario Outline: A start is known though its agent has started again: killed after <known> s
    Given a simulated site of 2 entries and 2 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.0 s late
    When job "a" of 12 tasks of 3000 ms is submitted to entry 0
    And 0.02 s pass
    And simulated target 0 rejects all requests for 5.5 s
    And <known> s pass
    And agent 0 is killed and restarts after 0.05 s
    And 0.3 s pass
    And the caller of job "a" disconnects from entry 0
    And 1.3 s pass
    And job "a" of 12 tasks of 3000 ms is submitted to entry 1
    And 12 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

    Examples:
      | known |
      | 0.1   |
      | 0.5   |

  Scenario: A start is known to an entry that had no word of it from the former agent
    Given a simulated site of 3 entries and 2 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.0 s late
    When targets 0 to 0 become unreachable from entry 1
    And job "a" of 12 tasks of 3000 ms is submitted to entry 0
    And 0.02 s pass
    And simulated target 0 rejects all requests for 5.5 s
    And 0.6 s pass
    And entry 0 is killed
    And agent 0 is killed and restarts after 0.05 s
    And targets 0 to 0 become reachable from entry 1 again
    And 1.6 s pass
    And job "a" of 12 tasks of 3000 ms is submitted to entry 1
    And 12 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

  # Guards against a job that is shown as failed although none of its tasks has,
  # as a lost agent's target may still begin one.
  Scenario Outline: A job that is given up while a start may still be executed is not shown as failed: <end>
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0, whose caller waits 2 s
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And 1.5 s pass
    And <end>
    Then job "a" is unfinished at entry 0
    When 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

    Examples:
      | end                          |
      | entry 0 abandons all jobs    |
      | the deadline of job "a" ends |

  # Guards against a second run of a task whose caller has left an entry that has
  # lost the agent of the first one.
  Scenario: A start at a lost agent is known to the entry that the caller goes to
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 12 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And 1.5 s pass
    And the caller of job "a" disconnects from entry 0
    And 1.3 s pass
    And job "a" of 12 tasks of 1800 ms is submitted to entry 1, whose caller waits 20 s
    And 20 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

  # Guards against an answer that no task has run while one may still begin.
  Scenario: A job that is sent again while its start may be executed is not answered as not run
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And the next 6 start requests to target 0 are executed 4.2 s late
    When job "a" of 1 tasks of 1800 ms is submitted to entry 0, whose caller waits 1 s
    And 0.02 s pass
    And agent 0 is killed and restarts after 9 s
    And 2.3 s pass
    And job "a" of 1 tasks of 1800 ms is submitted to entry 1, whose caller waits 1 s
    And 1.1 s pass
    Then job "a" is unfinished at entry 1

  # Guards against an answer that no task has run while one has crashed a target,
  # of which the entry is told after the job has come again.
  Scenario: A job of which a crash is told of later is not answered as not run
    Given a simulated site of 2 entries and 4 targets of 16 cores
    And task 0 of job "a" crashes each target that starts it
    When messages from agents to entry 1 arrive in 0.76 s at the earliest
    And job "a" of 1 tasks of 300 ms is submitted to entry 0
    And 0.1 s pass
    And the caller of job "a" disconnects from entry 0
    And job "b" of 60 tasks of 4000 ms is submitted to entry 0
    And 0.6 s pass
    And job "a" of 1 tasks of 300 ms is submitted to entry 1, whose caller waits 1 s
    And 1.2 s pass
    Then job "a" is unfinished at entry 1

  Scenario: A start request after the last renewal extends the time until the lease ends
    Given a simulated site of 1 entries and 2 targets of 16 cores
    When simulated target 0 stops responding to renewals
    And 0.3 s pass
    And job "a" of 12 tasks of 4000 ms is submitted to entry 0
    And 15 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  # Guards against a task that waits for ever for a target that is lost for good.
  Scenario: A start that gets no response from a target lost for good runs elsewhere in the end
    Given a simulated site of 1 entries and 2 targets of 16 cores
    When simulated target 0 stops sending responses
    And 0.3 s pass
    And job "a" of 12 tasks of 4000 ms is submitted to entry 0, whose caller waits 30 s
    And 30 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  # Guards against ends that a restarted target forgets before they were read.
  Scenario: A target without a response to a renewal is sent no position to forget
    Given an agent whose target has just listed a completion at position 3
    Then the agent lets the target forget completions up to 3
    When a renewal gets no response
    Then the agent lets the target forget completions up to 0

  # Guards against an agent that never lets its target forget a completion, so
  # that the target responds to each renewal at once.
  Scenario: A list that was overtaken by one of the same time hides no completion
    Given completions 1 to 3 that a target has listed
    When a list without them is received, and then one with them
    Then the target may forget completions up to 3

  Scenario: A draining target gets no new runs
    Given a simulated site of 2 entries and 2 targets of 16 cores
    When target 0 reports that it is draining
    And 0.6 s pass
    And 6 jobs of 2 tasks of 200 ms are submitted at once
    And 5 s pass
    Then simulated target 0 started no run
    And every job got a response

  Scenario: A short loss of all streams costs no run
    Given a simulated site of 1 entries and 2 targets of 16 cores
    When job "a" of 4 tasks of 2000 ms is submitted to entry 0
    And 0.5 s pass
    And all streams of entry 0 are disconnected for 0.2 s
    And 4 s pass
    Then 4 runs were started
    And job "a" is completed at entry 0

  Scenario: An entry that shuts down reports a started job as unfinished and a waiting one as not run
    Given a simulated site of 1 entries and 1 targets of 16 cores
    When job "a" of 10 tasks of 4000 ms is submitted to entry 0
    And job "b" of 4 tasks of 4000 ms is submitted to entry 0
    And 0.3 s pass
    And entry 0 abandons all jobs
    And 1 s pass
    Then job "a" is unfinished at entry 0
    And job "b" is not run at entry 0
    And no task of job "b" was ever started

  Scenario: An entry that reaches few targets rejects the jobs beyond their capacity
    Given a simulated site of 1 entries and 4 targets of 16 cores
    When targets 1 to 3 become unreachable from entry 0
    And 2 s pass
    And 60 jobs of 4 tasks of 200 ms are submitted 20 ms apart
    And 4 s pass
    Then at least 90 % of the rejections came within 0.095 s
    And at least 12 jobs are completed within their objective

  Scenario: A pause of the entry alone causes no rejection
    Given a simulated site of 1 entries and 4 targets of 16 cores
    When job "a" of 2 tasks of 2000 ms is submitted to entry 0
    And entry 0 is paused for 0.9 s
    And 0.3 s pass
    And job "b" of 2 tasks of 2000 ms is submitted to entry 0
    And 5 s pass
    Then job "b" is completed at entry 0

  Scenario: A cancelled best-effort job ends at once and its runs stop within 0.2 s
    Given a simulated site of 1 entries and 2 targets of 16 cores
    When job "a" of 8 tasks of 4000 ms is submitted to entry 0
    And 0.5 s pass
    And job "a" is cancelled at entry 0
    And 0.2 s pass
    Then job "a" is cancelled at entry 0
    And no target has a running task

  Scenario: Runs without progress are moved and their target is avoided
    Given a simulated site of 1 entries and 4 targets of 16 cores
    And runs on simulated target 0 never finish
    When job "a" of 16 tasks of 300 ms is submitted to entry 0
    And 4 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0
    And the response to job "a" took at most 1.5 s

  Scenario: Runs on a slow target are moved to targets with free capacity
    Given a simulated site of 1 entries and 4 targets of 16 cores
    And simulated target 0 runs tasks 8 times slower
    When job "a" of 16 tasks of 400 ms is submitted to entry 0
    And 6 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0
    And the response to job "a" took at most 1.6 s

  Scenario: Runs of a job with a far too short declared run time are not moved
    Given a simulated site of 1 entries and 4 targets of 16 cores
    When job "a" of 8 tasks of 2000 ms, declared as 300 ms, is submitted to entry 0
    And 6 s pass
    Then 8 runs were started
    And job "a" is completed at entry 0

  Scenario: A job that is submitted before any target is known waits for one
    Given a simulated site of 1 entries and 2 targets of 16 cores that has just started
    When job "a" of 2 tasks of 1000 ms is submitted to entry 0
    And 6 s pass
    Then job "a" is completed at entry 0

  Scenario: A newly started entry rejects no job while targets are still being discovered
    Given a simulated site of 1 entries and 4 targets of 16 cores whose first heartbeats come 0.1 s apart
    When 0.4 s pass
    And 8 jobs of 4 tasks of 1000 ms are submitted at once
    And 6 s pass
    Then every job is completed

  Scenario: No target runs more tasks of a step at once than the step allows
    Given a simulated site of 1 entries and 4 targets of 16 cores
    When job "a" of 12 tasks of 300 ms, at most 2 on one target, is submitted to entry 0
    And 4 s pass
    Then job "a" is completed at entry 0
    And no target ever ran more than 2 tasks at once

  Scenario: A target that restarts with less capacity is not overcommitted
    Given a simulated site of 1 entries and 1 targets of 16 cores
    When job "a" of 10 tasks of 1000 ms is submitted to entry 0
    And 0.3 s pass
    And target 0 crashes and restarts after 0.05 s with 8 cores
    And 8 s pass
    Then no target ran more than 5 tasks at once in its second incarnation

  # Guards against a second run of a task whose first one goes on in the next
  # incarnation of its target.
  Scenario Outline: A start that reaches a restarted target before its agent knows runs once
    Given a simulated site of 1 entries and 3 targets of 16 cores
    When <idle> s pass
    And target 0 crashes and restarts after <down> s
    And <delay> s pass
    And job "a" of 24 tasks of <work> ms is submitted to entry 0
    And 4 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0
    And 24 runs were started

    Examples:
      | idle | down | delay | work |
      | 3.1  | 0.05 | 0.1   | 300  |
      | 3.1  | 0.2  | 0.21  | 300  |
      | 3.3  | 0.05 | 0.06  | 1800 |

  # Guards against a lease that lasts longer than its agent reckons, as it was
  # computed with the clock of the target's former incarnation.
  Scenario: A lease that a restarted target grants longer than requested has no second run
    Given a simulated site of 1 entries and 3 targets of 16 cores
    When 3.1 s pass
    And target 0 crashes and restarts after 0.05 s
    And 0.06 s pass
    And job "a" of 24 tasks of 1800 ms is submitted to entry 0
    And 0.02 s pass
    And simulated target 0 rejects all requests for 3.0 s
    And 6 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0

  Scenario: A target on which every run fails costs no job
    Given a simulated site of 1 entries and 4 targets of 16 cores
    And every run on simulated target 0 fails
    When 30 jobs of 2 tasks of 200 ms are submitted 50 ms apart
    And 6 s pass
    Then every job is completed

  Scenario: In a burst of twice the capacity rejections come within 0.095 s
    Given a simulated site of 2 entries and 4 targets of 16 cores
    When 200 jobs of 4 tasks of 200 ms are submitted 10 ms apart
    And 10 s pass
    Then at least 90 % of the rejections came within 0.095 s
    And at least 80 jobs are completed within their objective

  Scenario: An idle entry receives few messages from many agents
    Given a simulated site of 2 entries and 60 targets of 16 cores
    When 2 s pass while messages are counted
    Then entries received on average at most 240 messages a second

  Scenario: A busy entry receives at most two messages per start from many agents
    Given a simulated site of 2 entries and 60 targets of 16 cores
    When 240 jobs of 4 tasks of 200 ms are submitted 10 ms apart while messages are counted
    Then entries received on average at most 400 messages a second
    And at least 240 jobs are completed within their objective

  Scenario: Streams without runs carry almost no messages
    Given a simulated site of 2 entries and 11 targets of 16 cores
    When 3 s pass
    And 6 s pass while messages are counted
    Then entries received on average at most 8 messages a second
    And timers fired on average at most 4 times a second per process

  Scenario: Agents are probed for free capacity when a job arrives
    Given a simulated site of 2 entries and 11 targets of 16 cores
    When 5 s pass
    And job "a" of 8 tasks of 200 ms is submitted to entry 0
    And 2 s pass
    Then job "a" is completed at entry 0
    And the response to job "a" took at most 0.23 s

  # Guards against entries and agents that answer each other without pause while
  # tasks wait that demand no processor time.
  Scenario: Agents are not probed without pause for tasks that demand only memory
    Given a simulated site of 2 entries and 4 targets of 16 cores
    When job "a" of 12 tasks of 2000 ms that demand only memory is submitted to entry 0
    And 1.5 s pass while messages to agents are recorded
    Then fewer than 12 tasks of job "a" have started
    And messages that carry no orders keep the limits of echoes and probes

  Scenario: Agents that became unreachable on idle streams are not used for a job
    Given a simulated site of 1 entries and 6 targets of 16 cores
    When 5 s pass
    And targets 0 to 2 become unreachable from entry 0
    And job "a" of 12 tasks of 200 ms is submitted to entry 0
    And 2 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 0
    And the response to job "a" took at most 0.28 s

  Scenario: An entry that is paused while agents respond sends no late start request
    Given a simulated site of 2 entries and 2 targets of 16 cores
    When 5 s pass
    And job "a" of 8 tasks of 1000 ms is submitted to entry 0
    And entry 0 is paused for 4 s
    And 1.3 s pass
    And job "a" of 8 tasks of 3000 ms is submitted to entry 1
    And 2.8 s pass
    And the caller of job "a" disconnects from entry 0
    And 6 s pass
    Then no task ever had two runs at the same time
    And job "a" is completed at entry 1

  Scenario: Free capacity that is offered to another entry first causes no rejection
    Given a simulated site of 6 entries and 1 targets of 16 cores
    When 5 s pass
    And 6 jobs of 1 tasks of 200 ms are submitted at once
    And 3 s pass
    Then every job is completed

  Scenario: An entry of a large site uses a subset of the agents
    Given a simulated site of 4 entries and 60 targets of 16 cores
    When 2 s pass
    Then each entry has streams to at most 24 agents

  Scenario: Unreachable agents in an entry's subset are replaced at once
    Given a simulated site of 1 entries and 60 targets of 16 cores
    When 2 s pass
    And all agents that entry 0 uses become unreachable from it
    And job "a" of 8 tasks of 200 ms is submitted to entry 0
    And 1 s pass
    And job "b" of 8 tasks of 200 ms is submitted to entry 0
    And 2 s pass
    Then no task ever had two runs at the same time
    And job "b" is completed at entry 0
    And the response to job "b" took at most 0.28 s

  Scenario: An entry with most of the traffic uses agents beyond its subset
    Given a simulated site of 4 entries and 60 targets of 16 cores
    When 2 s pass
    And 600 jobs of 4 tasks of 800 ms are submitted to entry 0, 8 ms apart
    And 4 s pass
    Then no target ever exceeded its capacity
    And at least 570 jobs are completed within their objective

  Scenario: An entry that extended its subset releases agents when its load drops
    Given a simulated site of 2 entries and 36 targets of 16 cores
    When 2 s pass
    And 200 jobs of 4 tasks of 800 ms are submitted to entry 0, 4 ms apart
    And 5 s pass
    And job "long" of 300 tasks of 4000 ms is submitted to entry 0
    And 28 s pass
    Then job "long" is completed at entry 0
    And each entry has streams to at most 24 agents
    And no task ever had two runs at the same time

  Scenario: A job that needs a label reaches a target outside the subset
    Given a simulated site of 1 entries and 60 targets of 16 cores
    And only targets that entry 0 does not use have the label "press-2"
    When job "a" of 4 tasks of 200 ms that need label "press-2" is submitted to entry 0
    And 2 s pass
    Then job "a" is completed at entry 0
    And the response to job "a" took at most 0.32 s

  Scenario: Rounds of capacity probes do not grow while there are no agents
    Given a capacity prober without agents that has probed 1000 times
    Then its next round of probes goes to at most 3 agents

  Scenario: Labels that no target has do not extend an entry's subset
    Given a simulated site of 1 entries and 60 targets of 16 cores
    When 2 s pass
    And 300 jobs that each need a different label that no target has are submitted to entry 0
    And 1 s pass
    Then each entry has streams to at most 24 agents
    And entry 0 tracks no requested label

  Scenario: A job that limits its tasks per target reaches enough targets
    Given a simulated site of 1 entries and 60 targets of 16 cores
    When 2 s pass
    And job "a" of 40 tasks of 200 ms, at most 1 on one target, is submitted to entry 0
    And 2 s pass
    Then job "a" is completed at entry 0
    And the response to job "a" took at most 0.4 s

  Scenario: A new site configuration is not sent to processes that have read it
    Given a simulated site of 4 entries and 6 targets of 16 cores
    When 2 s pass
    And all processes read a site configuration of 1400 queues from the store
    And 6 s pass while messages are counted
    Then no message carried the site configuration

  Scenario: Processes that can't read the store get a new site configuration from others
    Given a simulated site of 4 entries and 6 targets of 16 cores
    When 2 s pass
    And all processes except entry 0 and agent 0 read a site configuration of 1400 queues from the store
    And 1.5 s pass while messages are counted
    Then all processes have the site configuration of 1400 queues
    And at most 12 messages carried the site configuration

  Scenario: Without faults no run is treated as a straggler
    Given a simulated site of 2 entries and 8 targets of 16 cores
    When 150 jobs of 4 tasks of 700 ms are submitted 40 ms apart
    And 3 s pass
    Then every job is completed
    And 600 runs were started

  Scenario: An overloaded entry rejects new jobs until it has recovered
    Given a simulated site of 1 entries and 2 targets of 16 cores
    When job "a" of 4 tasks of 2000 ms is submitted to entry 0
    And entry 0 is overloaded for 1.5 s
    And job "b" of 4 tasks of 200 ms is submitted to entry 0
    And entry 0 is no longer overloaded
    And 0.5 s pass
    And job "c" of 4 tasks of 200 ms is submitted to entry 0
    And 4 s pass
    Then job "a" is completed at entry 0
    And job "b" is not run at entry 0
    And no task of job "b" was ever started
    And job "c" is completed at entry 0

  Scenario: A simulation with random faults repeats exactly from its seed
    When random faults with seed 1 are simulated in two processes with different hash seeds
    Then both simulations record the same history

  Scenario: Random faults on a large site never cause two runs of a task at once
    When random faults with seeds 1 to 6 are injected into large simulated sites
    Then no simulated site violated an invariant
    And every simulated site completed jobs after the faults ended

  Scenario: Short faults that overlap never cause two runs of a task at once
    When short faults with seeds 1 to 24 overlap on small simulated sites
    Then no simulated site violated an invariant
    And every simulated site completed jobs after the faults ended

  # Guards against second runs while agents and targets don't know of each other.
  Scenario: Faults between agents and targets never cause two runs of a task at once
    When faults between agents and targets with seeds 1 to 9 overlap on small simulated sites
    Then no simulated site violated an invariant
    And every simulated site completed jobs after the faults ended

  Scenario Outline: Random faults on a small site never cause two runs of a task at once
    When random faults with seeds <first> to <last> are injected into small simulated sites
    Then no simulated site violated an invariant
    And every simulated site completed jobs after the faults ended

    Examples:
      | first | last |
      | 1     | 24   |

  # Guards against second runs that an entry's log doesn't explain.
  Scenario Outline: The log of an entry tells why it starts a task again
    Given a simulated site of 1 entries and 3 targets of 16 cores
    When job "a" of 12 tasks of 1000 ms is submitted to entry 0
    And 0.5 s pass
    And <fault>
    And 12 s pass
    Then the log of entry 0 names all second runs, after <end> by <cause>

    Examples:
      | fault                                      | end          | cause            |
      | target 0 crashes and restarts after 0.05 s | crashed      | target_restarted |
      | target 0 crashes and restarts after 0 s    | lapsed       | target_restarted |
      | target 0 crashes and restarts after 20 s   | crashed      | lease_expired    |
      | simulated target 0 stops sending responses | lapsed       | lease_expired    |
      | agent 0 is killed and restarts after 0.2 s | lapsed       | run_unknown      |
      | agent 0 is killed and restarts after 9 s   | agent_silent | no report        |
      | entry 0 is paused for 4 s                  | stopped      | entry_gone       |

  # Guards against a failure whose line doesn't show what it is based on.
  Scenario: The log of an entry tells what a job's failure is based on
    Given a simulated site of 1 entries and 4 targets of 16 cores
    And every run on simulated target 0 fails
    And every run on simulated target 1 fails
    And every run on simulated target 2 fails
    And every run on simulated target 3 fails
    When job "a" of 2 tasks of 200 ms is submitted to entry 0
    And 6 s pass
    Then job "a" is failed at entry 0
    And the log of entry 0 shows the failure with code 1010, failures 3, attempts 3 and crashes 0

  # Guards against streams that break while versions are mixed.
  Scenario: Entries and agents of other versions read a report of a run
    Then a report without its last field, or with one more, is read
