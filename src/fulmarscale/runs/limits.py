"""Timeouts and intervals that entries and agents must agree on, in seconds.

They bound the time after which a run is certain to have ended, so that no two
runs of a task overlap.
"""

from __future__ import annotations

from typing import Final

ACTIVE_PING_S: Final = 0.2
"""Longest interval of an agent's messages to an entry with runs or a backlog.

With ECHO_GAP_S it bounds the age of an echo to 0.3 s while both sides respond.
"""

ECHO_GAP_S: Final = 0.1
"""Least difference to the last echoed token at which an entry echoes at once.

Only entries with runs or a backlog echo at once. Reports in quick succession
don't cause an echo each.
"""

IDLE_PING_S: Final = 1.5
"""Longest interval between messages on a stream without runs and backlog.

It holds in both directions and serves only to detect a broken stream: no
lease depends on it.
"""

PROBE_COLLECT_S: Final = 0.008
"""How long placement waits for the replies of all probed agents.

Otherwise the first agent to reply would get all tasks of a job, however
loaded its target is.
"""

BUSY_TICK_S: Final = 0.05
"""Interval of the periodic checks while there are jobs or runs."""

IDLE_TICK_S: Final = 0.5
"""Interval of the periodic checks without jobs and runs.

Only keep-alives of idle streams are due then, every IDLE_PING_S.
"""

STREAM_TIMEOUT_S: Final = 2.5 * IDLE_PING_S
"""Time without a message after which a stream is closed and opened again.

It is more than two of the longest intervals between messages of a healthy
stream.
"""

PROPAGATION_DELAY_S: Final = 0.5
"""Time for other processes to read a new site configuration from the store.

A process that has it announces the revision at once in a message of 100
bytes. The configuration itself, some 200 KB for 1,400 queues, is sent only to
those that still lack it after this time.
"""

MAX_ECHO_AGE_S: Final = 0.4
"""Age of an entry's last echo beyond which an agent starts nothing for it.

It bounds how late a start request of a stalled entry can take effect.
"""

MAX_STATE_AGE_S: Final = 0.3
"""Time without a message after which an agent is probed before placement.

Its token would often be older than MAX_ECHO_AGE_S when a start request
arrives.
"""

PROBE_TIMEOUT_S: Final = 0.03
"""How long an agent may take to reply to a probe.

This is many times the 2 ms between data centres. A slower agent counts as
without capacity until its next message.
"""

ECHO_TIMEOUT_S: Final = 0.55
"""Age of an entry's last echo beyond which an agent stops the entry's runs.

An entry and an agent may be lost one after the other. The sum of this and
LEASE_S must be less than the 1.3 s after which a caller retries a broken
request.
"""

LEASE_S: Final = 0.7
"""Duration of a lease: how long a target continues runs without its agent."""

MAX_LEASE_S: Final = 1.0
"""Longest lease that a target grants; it shortens longer ones."""

TARGET_CLOCK_FACTOR: Final = 1.02
"""Factor by which a lease may last longer because of the target's clock.

The platform guarantees that targets' clocks are at most 2% slow.
"""

LAPSE_MARGIN_S: Final = 0.1
"""How long a target may take to end all runs when its lease lapses."""

LATE_START_S: Final = 15.0
"""How late a target may carry out a start request that got no response.

Until then a task is not started elsewhere unless its agent has ruled it out.
"""

RUN_EXPIRY_S: Final = (
    ECHO_TIMEOUT_S + LEASE_S * TARGET_CLOCK_FACTOR + LAPSE_MARGIN_S
)
"""Time without a message of an agent after which its runs have ended.

The agent stops an entry's runs after ECHO_TIMEOUT_S without echoes. If it was
lost before, the last lease that it gave to the target has run out.
"""
