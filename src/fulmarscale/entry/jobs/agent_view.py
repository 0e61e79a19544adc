"""What an entry knows of one agent and its target."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.estimates import Slowness
from fulmarscale.runs.limits import ANSWER_S
from fulmarscale.runs.limits import ECHO_GAP_S
from fulmarscale.runs.limits import IDLE_PING_S
from fulmarscale.runs.limits import USABLE_S
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
        self._free = Resources()
        self._is_promised = False
        self.told_backlog = False
        """Whether the agent knows that tasks wait here."""
        self.must_ask = False
        """Whether the next message is to ask for an answer at once."""
        self.asked_at: float | None = None
        """When it was asked; none since it was heard."""
        self.echoed_s = float("-inf")
        """The agent's time that was echoed last."""
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
    def free(self) -> Resources:
        """What is free, less what this entry has ordered meanwhile."""
        return self._free

    @property
    def room(self) -> Resources:
        """What this entry may order: nothing while others are offered it."""
        return Resources() if self._is_promised else self._free

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
        room = self.room
        was_usable = now - self.heard_at <= USABLE_S
        is_same = was_usable and message.target == self.target
        self.asked_at = None
        self.token = message.token
        self.heard_at = now
        self.target = message.target
        self.is_stopping = message.is_stopping
        self.site_revision = message.site_revision
        self.others_backlog = message.others_backlog
        self._used = message.used
        self._is_promised = message.is_promised
        self._unheard = [
            (sequence, demand)
            for sequence, demand in self._unheard
            if sequence > message.heard_sequence
        ]
        self._note_room()
        return not is_same or not self.room.fits(room)

    def _note_room(self) -> None:
        free = self.capacity - self._used
        for _, demand in self._unheard:
            free -= demand
        self._free = free

    def reset(self) -> None:
        """Forget what was under way on a stream that ended."""
        self.asked_at = None
        self.must_ask = False
        self.told_backlog = False
        self.echoed_s = float("-inf")
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
        if not self.serves(service, closed):
            return False
        if now - self.heard_at > USABLE_S or self.token is None:
            return False
        if now - self.refused_at < REFUSAL_PAUSE_S:
            return False
        if not self.is_quarantined:
            return True
        return not self.ordered and now >= self.probe_at

    def serves(self, service: ServiceName, closed: tuple[str, ...]) -> bool:
        """Tell whether the agent's target took runs when it was heard last."""
        target = self.target
        if self.session is None or target is None or self.is_stopping:
            return False
        if target.state is not TargetState.READY:
            return False
        return target.service == service and target.data_centre not in closed

    def is_asleep(self, now: float) -> bool:
        """Tell whether the agent has to be asked before it is used."""
        if self.session is None or self.asked_at is not None:
            return False
        return now - self.heard_at > USABLE_S

    def is_answering(self, now: float) -> bool:
        """Tell whether the agent was asked and is likely to answer yet."""
        return self.asked_at is not None and now - self.asked_at <= ANSWER_S

    def is_mute(self, now: float) -> bool:
        """Tell whether the agent did not answer in time."""
        return self.asked_at is not None and now - self.asked_at > ANSWER_S

    def ask(self) -> None:
        """Have the agent asked for its room and a new token."""
        self.must_ask = True
        self.mark_dirty()

    def add(self, order: StartOrder) -> None:
        """Queue an order for the next message."""
        self.starts.append(order)
        self.ordered[order.task] = order.order
        self._unheard.append((self.sequence + 1, order.demand))
        self._free -= order.demand
        self.mark_dirty()

    def add_receipts(self, receipts: tuple[EndReceipt, ...]) -> None:
        """Queue words on held ends for the next message."""
        self.receipts += receipts
        for receipt in receipts:
            self.held.pop(receipt.position, None)
        self.mark_dirty()

    def is_due(self, now: float) -> bool:
        """Tell whether a message has to be sent though nothing is new."""
        if now - self.sent_at >= IDLE_PING_S:
            return True
        if self.token is None or not (self.ordered or self.told_backlog):
            return False
        # The agent ends the runs of an entry that echoes no newer token.
        return self.token.time_s - self.echoed_s >= ECHO_GAP_S

    def note_failure(self, now: float) -> None:
        """Count a failed run."""
        self.failures += 1
        self.probe_at = now + PROBE_PAUSE_S

    def note_success(self) -> None:
        """Note a run that ended well."""
        self.failures = 0
