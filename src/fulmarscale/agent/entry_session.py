"""An entry's stream at an agent, and whose turn it is for freed room."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import RunReport

EXCLUSIVE_OFFER_S: Final = 0.012
"""How long freed room is offered to one entry before the next has it.

A message and its answer take 2 ms between data centres.
"""

OFFER_COOLDOWN_S: Final = 0.05
"""Pause before an entry that did not take an offer gets another."""


class Session:
    """A stream from an entry."""

    __slots__ = (
        "backlog",
        "entry",
        "expected",
        "has_changes",
        "has_durable_jobs",
        "latest_start_at",
        "must_send",
        "number",
        "offered_at",
        "received_sequence",
        "reports",
        "sent_at",
        "sent_positions",
        "site_revision",
    )

    def __init__(self, number: int, entry: EntryId, now: float) -> None:
        self.number = number
        self.entry = entry
        self.expected: set[ExpectedRun] = set()
        """Runs that the entry counts on, and that are not answered for."""
        self.has_durable_jobs = True
        """Whether the entry knows of kept jobs; so until it has spoken."""
        self.sent_positions: set[int] = set()
        """Ends that are held, and that this stream has carried."""
        self.received_sequence = 0
        self.sent_at = now
        self.must_send = True
        """Whether the entry is to be sent a message at once."""
        self.has_changes = True
        """Whether there is news for an entry that has use for it."""
        self.reports: list[RunReport] = []
        self.site_revision = 0
        self.backlog = 0
        self.latest_start_at = float("inf")
        """When the entry's most urgent job has to start, by this clock."""
        self.offered_at = float("-inf")
        """Since when the room here is offered to this entry first."""


def choose_preferred(sessions: list[Session], now: float) -> Session | None:
    """Choose the entry that freed room is offered to first.

    It is the one whose waiting job is the most urgent; otherwise the nearest
    entry would win each race. An offer that is not taken in time passes to
    the next entry.

    :param sessions: all open streams.
    :param now: the agent's time.
    :returns: none if all may use the room.
    """
    waiting = [session for session in sessions if session.backlog > 0]
    if len(waiting) < 2:
        return None
    for session in waiting:
        if now - session.offered_at <= EXCLUSIVE_OFFER_S:
            return session
    idle = [
        session
        for session in waiting
        if now - session.offered_at > OFFER_COOLDOWN_S
    ]
    if not idle:
        return None
    chosen = min(
        idle, key=lambda session: (session.latest_start_at, session.entry)
    )
    chosen.offered_at = now
    return chosen
