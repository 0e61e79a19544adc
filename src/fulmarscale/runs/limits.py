"""Spans that entries and agents must agree on, in seconds.

They bound when a run has surely ended, so that no task runs twice at once.
"""

from __future__ import annotations

from typing import Final

PING_S: Final = 0.13
"""The longest pause between messages of a stream. Three fit in FRESH_S."""

IDLE_PING_S: Final = 0.4
"""The longest pause of an entry that has no runs at an agent.

No lease hangs on it, only that the stream is seen to be alive.
"""

QUIET_PING_S: Final = 0.25
"""The longest pause of an agent towards an entry without runs or backlog.

Such an entry still has to hold a token younger than FRESH_S to order.
"""

NEWS_S: Final = 0.05
"""The shortest pause between news that an entry has no use for at once."""

FRESH_S: Final = 0.4
"""The age of an echo beyond which an agent starts nothing for an entry.

Bounds how late an order of an entry that stood still can be obeyed.
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
