"""An entry's stream at an agent, and which entry is offered free capacity.

Used by the run guard for the users' platform. `entry_streams` holds the
streams of the project's own protocol.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import RunReport

EXCLUSIVE_OFFER_S: Final = 0.012
"""How long free capacity is offered to one entry before the next.

A round trip between data centres takes 2 ms.
"""

OFFER_COOLDOWN_S: Final = 0.05
"""Pause before an entry that did not use an offer gets another."""


class EntrySession:
    """The state of an entry's stream."""

    __slots__ = (
        "backlog",
        "crash_revision",
        "entry",
        "expected",
        "has_changes",
        "has_confined_queues",
        "latest_start_at",
        "must_send",
        "number",
        "offered_at",
        "opened_at",
        "received_sequence",
        "reports",
        "sent_at",
        "sent_positions",
        "site_revision",
    )

    def __init__(self, number: int, entry: EntryId, now: float) -> None:
        self.number = number
        self.entry = entry
        self.opened_at = now
        self.expected: set[ExpectedRun] = set()
        """Unresolved runs that the entry requested on earlier streams."""
        self.has_confined_queues = False
        """Whether the entry needs the loads by queue."""
        self.sent_positions: set[int] = set()
        """Positions of the unacknowledged completions sent on this stream."""
        self.received_sequence = 0
        """The sequence number of the entry's newest message."""
        self.crash_revision = 0
        """The revision of the target's crashes that the entry was sent."""
        self.sent_at = now
        self.must_send = True
        """Whether a message is to be sent at once."""
        self.has_changes = True
        """Whether capacity, runs or offers changed since the last message."""
        self.reports: list[RunReport] = []
        """Reports to send with the next message."""
        self.site_revision = 0
        """The revision of the site configuration that the entry has."""
        self.backlog = 0
        """CPU demand of the entry's waiting tasks, in millicores."""
        self.latest_start_at = float("inf")
        """When its most urgent job has to start, by the agent's clock."""
        self.offered_at = float("-inf")
        """When free capacity was last offered to this entry first.

        Reset to minus infinity once the entry sends start requests.
        """


def choose_preferred(
    sessions: list[EntrySession], now: float
) -> EntrySession | None:
    """Choose the entry that free capacity is offered to first.

    It is the one whose waiting job is the most urgent; otherwise the nearest
    entry would always be the first to claim capacity. An offer that is not
    used in time passes to the next entry.

    :param sessions: all open streams.
    :param now: the agent's time.
    :returns: none if all entries may use the capacity.
    """
    waiting = [session for session in sessions if session.backlog > 0]
    if len(waiting) < 2:
        return None
    for session in waiting:
        if now - session.offered_at <= EXCLUSIVE_OFFER_S:
            return session
    eligible = [
        session
        for session in waiting
        if now - session.offered_at > OFFER_COOLDOWN_S
    ]
    if not eligible:
        return None
    chosen = min(
        eligible, key=lambda session: (session.latest_start_at, session.entry)
    )
    chosen.offered_at = now
    return chosen
