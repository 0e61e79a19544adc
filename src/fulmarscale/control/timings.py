"""The spans of time that the safety rules rest on."""

from __future__ import annotations

import msgspec


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Spans in seconds, the same in all processes of a site."""

    freshness_s: float = 1.5
    """How long an entry may act on confirmed state."""
    margin_s: float = 0.3
    """Allowance for clocks that run at different rates."""
    skew_s: float = 0.5
    """How far an id may be ahead of the platform's time."""
    wall_error_s: float = 0.25
    """The largest error of an entry's reading of the platform's time."""
    round_s: float = 0.4
    """Time between lease confirmations."""
    liveness_s: float = 0.8
    """Time between asks to peers while the table confirms the lease."""
    dead_after_s: float = 2.0
    """Silence after which a peer is removed from the list."""
    retention_s: float = 120.0
    """How long the record of an answered submission is kept."""
    answer_grace_s: float = 0.25
    """How long after a job's deadline an entry waits for agents."""
    past_wait_s: float = 1.0
    """How long an entry waits for agents' or a peer's records."""

    @property
    def takeover_wait_s(self) -> float:
        """When a removed entry has surely stopped acting."""
        return self.freshness_s + self.margin_s

    @property
    def age_allowance_s(self) -> float:
        """How much younger than a gain an id must be to be fresh."""
        errors_s = 2 * self.wall_error_s
        return self.takeover_wait_s + self.skew_s + errors_s
