"""An entry's stream at an agent.

Used by the run guard for the users' platform. `entry_streams` holds the
streams of the project's own protocol.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.lost_agent_starts import LostAgentStart
    from fulmarscale.runs.messages import ClassDemand
    from fulmarscale.runs.messages import EntryMessage
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import RunReport


class EntrySession:
    """The state of an entry's stream."""

    __slots__ = (
        "backlog",
        "crash_revision",
        "demands",
        "entry",
        "expected",
        "has_changes",
        "has_confined_queues",
        "latest_start_at",
        "lost_agent_starts",
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
        self.lost_agent_starts: list[LostAgentStart] = []
        """Starts at lost agents that the entry has yet to be told of."""
        self.site_revision = 0
        """The revision of the site configuration that the entry has."""
        self.backlog = 0
        """CPU demand of the entry's waiting tasks, in millicores."""
        self.latest_start_at = float("inf")
        """When its most urgent job has to start, by the agent's clock."""
        self.demands: tuple[ClassDemand, ...] = ()
        """The backlog by priority class; empty without priorities."""
        self.offered_at = float("-inf")
        """When free capacity was last offered to this entry first.

        Reset to minus infinity once the entry sends start requests.
        """

    @property
    def priority(self) -> int:
        """The priority of the entry's most urgent waiting job.

        0 if the site has no priorities.
        """
        return self.demands[0].priority if self.demands else 0

    def update_backlog(self, message: EntryMessage, now: float) -> None:
        """Replace the backlog by that of the entry's newest message.

        :param message: the message.
        :param now: the agent's time.
        """
        self.backlog = message.backlog
        self.demands = message.demands
        slack_s = message.slack_s
        if message.demands:
            slack_s = message.demands[0].slack_s
        self.latest_start_at = now + slack_s

    def clear_backlog(self) -> None:
        """Forget the backlog of an entry that may be down."""
        self.backlog = 0
        self.demands = ()
