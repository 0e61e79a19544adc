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
    """Time without a message of a peer until it is removed from the list.

    Only lease promises, requests for them and the adoption of the newest list
    count as messages.
    """
    retention_s: float = 120.0
    """How long an answered submission's record is kept, from the id's time."""
    answer_grace_s: float = 0.25
    """How long after a job's deadline an entry waits for agents."""
    past_wait_s: float = 1.0
    """How long an entry searches the records of agents for a submission.

    It also limits the wait of a forwarded show or cancel call.
    """

    @property
    def takeover_wait_s(self) -> float:
        """Time after its removal by which an entry has stopped acting."""
        return self.freshness_s + self.margin_s

    @property
    def age_allowance_s(self) -> float:
        """How much later than its key's gain an id must be to need no query.

        If the id's time is later by more than this than the time at which its
        owner gained the key, no former owner can have started it.
        """
        errors_s = 2 * self.wall_error_s
        return self.takeover_wait_s + self.skew_s + errors_s
