"""Spans that entries and agents must agree on, in seconds.

They bound when a run has surely ended, so that no task runs twice at once.
"""

from __future__ import annotations

from typing import Final

PING_S: Final = 0.2
"""The longest pause of an agent towards an entry with runs or backlog.

With ECHO_GAP_S an echo is 0.3 s old at most, while all answer.
"""

ECHO_GAP_S: Final = 0.1
"""How much newer than its last echo a token is that an entry answers at once.

Only entries with runs at the agent answer; reports in quick succession cost
no answer each.
"""

IDLE_PING_S: Final = 1.5
"""The longest pause on a stream without runs and backlog, in both directions.

No lease hangs on it, only that the stream is seen to be alive.
"""

SURVEY_S: Final = 0.008
"""How long tasks wait for the answers of all agents that were asked.

Otherwise the first to answer would get all of a job, whatever its state.
"""

BUSY_TICK_S: Final = 0.05
"""Time between looks at what is due while there is work."""

IDLE_TICK_S: Final = 0.5
"""The same without work: pings of idle streams are due every IDLE_PING_S."""

STREAM_SILENT_S: Final = 2.5 * IDLE_PING_S
"""Silence after which a stream is given up and opened anew.

More than two of the longest pauses between messages of a sound stream.
"""

HAND_ON_S: Final = 0.5
"""How long others may take to read a new state from the store themselves.

All who have it tell so at once, in a message of 100 bytes; only those who
have not by then are handed the state, which has some 200 KB for 1,400 queues.
"""

FRESH_S: Final = 0.4
"""The age of an echo beyond which an agent starts nothing for an entry.

Bounds how late an order of an entry that stood still can be obeyed.
"""

USABLE_S: Final = 0.3
"""Silence of an agent after which an entry asks it before it orders.

Its token would often be older than FRESH_S when the order arrives.
"""

ANSWER_S: Final = 0.03
"""How long an agent that was asked may take to answer.

Many times the 2 ms between data centres. One that takes longer is not
counted on until it is heard.
"""

SILENCE_S: Final = 0.55
"""The age of an echo beyond which an agent stops an entry's runs.

An entry and an agent may be lost one after the other: with LEASE_S this has
to end before a caller's next attempt, which comes 1.3 s after the broken one.
"""

LEASE_S: Final = 0.7
"""How long a target may run on without its agent.

The platform shortens leases over 1 s.
"""

CLOCK_SLACK: Final = 1.02
"""How much longer a lease may last by the target's clock, as a factor.

The platform promises that targets' clocks are at most 2% slow.
"""

LAPSE_MARGIN_S: Final = 0.1
"""What ending all runs of a lapsed lease may take."""

SURELY_OVER_S: Final = SILENCE_S + LEASE_S * CLOCK_SLACK + LAPSE_MARGIN_S
"""Silence of an agent after which all its runs for an entry have ended.

The agent stops them after SILENCE_S, or was gone by then and the lease that
it gave last ran out.
"""
