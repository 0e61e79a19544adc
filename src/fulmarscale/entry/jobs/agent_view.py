"""What an entry knows of one agent and its target."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.estimates import Slowness
from fulmarscale.runs.limits import FRESH_S
from fulmarscale.runs.limits import IDLE_PING_S
from fulmarscale.runs.limits import PING_S
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import KeptEnd
    from fulmarscale.runs.messages import StartOrder
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TargetReport
    from fulmarscale.runs.model import TaskKey
    from fulmarscale.wire.messages import AgentToken

QUARANTINE_FAILURES: Final = 3
"""Failed runs in a row, of different jobs, after which a target is probed."""

REFUSAL_PAUSE_S: Final = 0.02
"""Pause after a refusal, in which news of the target can arrive."""

PROBE_PAUSE_S: Final = 1.0
"""Time between probes of a target that fails all it starts."""


class AgentView:
    """One agent, as its messages describe it."""

    def __init__(self, name: str, now: float, dirty: set[str]) -> None:
        self._dirty = dirty
        self.name = name
        self.session: int | None = None
        """The open stream; none while there is none."""
        self.token: AgentToken | None = None
        self.heard_at = now
        """When its last message came."""
        self.sent_at = now
        self.sequence = 0
        self.target: TargetReport | None = None
        self.is_stopping = False
        self.site_revision = 0
        self.others_backlog = 0
        self.ordered: dict[TaskKey, int] = {}
        """Tasks whose runs this agent answers for, with their orders."""
        self.starts: list[StartOrder] = []
        """Orders that wait to be sent."""
        self.stops: list[TaskKey] = []
        self.receipts: list[EndReceipt] = []
        """Words on held ends that wait to be sent."""
        self.held: dict[int, KeptEnd] = {}
        """Ends that the agent holds, by their place on its target's list."""
        self.expected: tuple[ExpectedRun, ...] = ()
        self._room = Resources()
        self.told_backlog = False
        """Whether the agent knows that tasks wait here."""
        self.slowness = Slowness()
        self.failures = 0
        self.probe_at = float("-inf")
        self.refused_at = float("-inf")
        """When it last refused a start."""
        self._used = Resources()
        self._unheard: list[tuple[int, Resources]] = []

    @property
    def data_centre(self) -> str:
        """Where its target is; empty while unknown."""
        return "" if self.target is None else self.target.data_centre

    @property
    def capacity(self) -> Resources:
        """What the target has in all."""
        return Resources() if self.target is None else self.target.capacity

    @property
    def is_quarantined(self) -> bool:
        """Whether its target failed all that it was given of late."""
        return self.failures >= QUARANTINE_FAILURES

    @property
    def room(self) -> Resources:
        """What is free, less what this entry has ordered meanwhile."""
        return self._room

    def mark_dirty(self) -> None:
        """Have a message sent."""
        self._dirty.add(self.name)

    def has_label(self, label: str) -> bool:
        """Tell whether the target has a label; its rack is one."""
        return self.target is not None and label in self.target.labels

    def update(self, message: AgentMessage, now: float) -> bool:
        """Take in a message.

        :returns: whether more may be started there than before.
        """
        room = self._room
        was_usable = now - self.heard_at <= FRESH_S
        is_same = was_usable and message.target == self.target
        self.token = message.token
        self.heard_at = now
        self.target = message.target
        self.is_stopping = message.is_stopping
        self.site_revision = message.site_revision
        self.others_backlog = message.others_backlog
        self._used = message.used
        self._unheard = [
            (sequence, demand)
            for sequence, demand in self._unheard
            if sequence > message.heard_sequence
        ]
        self._note_room()
        return not is_same or not self._room.fits(room)

    def _note_room(self) -> None:
        free = self.capacity - self._used
        for _, demand in self._unheard:
            free -= demand
        self._room = free

    def reset(self) -> None:
        """Forget what was under way on a stream that ended."""
        self._unheard.clear()
        self._note_room()
        self.starts.clear()
        self.stops.clear()
        self.receipts.clear()
        self.held.clear()

    def is_usable(
        self, service: ServiceName, closed: tuple[str, ...], now: float
    ) -> bool:
        """Tell whether the agent may be given runs of a service."""
        target = self.target
        if self.session is None or target is None or self.is_stopping:
            return False
        if now - self.heard_at > FRESH_S or self.token is None:
            return False
        if now - self.refused_at < REFUSAL_PAUSE_S:
            return False
        if target.state is not TargetState.READY:
            return False
        if target.service != service or target.data_centre in closed:
            return False
        if not self.is_quarantined:
            return True
        return not self.ordered and now >= self.probe_at

    def add(self, order: StartOrder) -> None:
        """Queue an order for the next message."""
        self.starts.append(order)
        self.ordered[order.task] = order.order
        self._unheard.append((self.sequence + 1, order.demand))
        self._room -= order.demand
        self.mark_dirty()

    def add_receipts(self, receipts: tuple[EndReceipt, ...]) -> None:
        """Queue words on held ends for the next message."""
        self.receipts += receipts
        for receipt in receipts:
            self.held.pop(receipt.position, None)
        self.mark_dirty()

    def is_due(self, now: float) -> bool:
        """Tell whether a message has to be sent though nothing is new."""
        pause_s = PING_S if self.ordered else IDLE_PING_S
        return now - self.sent_at >= pause_s

    def note_failure(self, now: float) -> None:
        """Count a failed run."""
        self.failures += 1
        self.probe_at = now + PROBE_PAUSE_S

    def note_success(self) -> None:
        """Note a run that ended well."""
        self.failures = 0
