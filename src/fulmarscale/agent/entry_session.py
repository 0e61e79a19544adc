"""An entry's stream at an agent, and whose turn it is for freed room."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import RunReport

OFFER_S: Final = 0.012
"""How long freed room is offered to one entry before the next has it.

A message and its answer take 2 ms between data centres.
"""

OFFER_PAUSE_S: Final = 0.05
"""Pause before an entry that did not take an offer gets another."""


class Session:
    """A stream from an entry."""

    __slots__ = (
        "asked_sequence",
        "backlog",
        "entry",
        "expected",
        "has_kept_jobs",
        "is_asked",
        "is_dirty",
        "number",
        "offered_at",
        "reports",
        "sent_at",
        "shown_ends",
        "site_revision",
        "urgent_at",
    )

    def __init__(self, number: int, entry: EntryId, now: float) -> None:
        self.number = number
        self.entry = entry
        self.expected: set[ExpectedRun] = set()
        """Runs that the entry counts on, and that are not answered for."""
        self.has_kept_jobs = True
        """Whether the entry knows of kept jobs; so until it has spoken."""
        self.shown_ends: set[int] = set()
        """Ends that are held, and that this stream has carried."""
        self.asked_sequence = 0
        self.sent_at = now
        self.is_asked = True
        """Whether the entry is to be sent a message at once."""
        self.is_dirty = True
        """Whether there is news for an entry that has use for it."""
        self.reports: list[RunReport] = []
        self.site_revision = 0
        self.backlog = 0
        self.urgent_at = float("inf")
        """When the entry's most urgent job has to start, by this clock."""
        self.offered_at = float("-inf")
        """Since when the room here is offered to this entry first."""


def choose_favoured(sessions: list[Session], now: float) -> Session | None:
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
        if now - session.offered_at <= OFFER_S:
            return session
    idle = [
        session
        for session in waiting
        if now - session.offered_at > OFFER_PAUSE_S
    ]
    if not idle:
        return None
    chosen = min(idle, key=lambda session: (session.urgent_at, session.entry))
    chosen.offered_at = now
    return chosen
