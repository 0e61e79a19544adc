"""The durations on which the safety rules depend."""

from __future__ import annotations

import msgspec


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations in seconds, the same in all processes of a site."""

    freshness_s: float = 1.5
    """How long an entry may act on confirmed state."""
    margin_s: float = 0.3
    """Allowance for clocks that run at different rates."""
    skew_s: float = 0.5
    """How far an id's time may be ahead of the platform's time."""
    wall_error_s: float = 0.25
    """The largest error of an entry's estimate of the platform's time."""
    round_s: float = 0.4
    """Time between lease confirmations."""
    liveness_s: float = 0.8
    """Time between promise requests while the table confirms the lease."""
    dead_after_s: float = 2.0
    """Time without a message of a peer until it is removed from the list."""
    retention_s: float = 120.0
    """How long the record of an answered submission is kept."""
    answer_grace_s: float = 0.25
    """How long after a job's deadline an entry waits for agents."""
    past_wait_s: float = 1.0
    """How long an entry waits for the records of agents or a peer."""

    @property
    def takeover_wait_s(self) -> float:
        """Time after its removal by which an entry has stopped acting."""
        return self.freshness_s + self.margin_s

    @property
    def age_allowance_s(self) -> float:
        """How much later than the gain of its key an id must be to be new.

        The owner then knows without a query that it was never started.
        """
        errors_s = 2 * self.wall_error_s
        return self.takeover_wait_s + self.skew_s + errors_s
