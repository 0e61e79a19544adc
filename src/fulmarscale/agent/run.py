"""A run at its agent, and what its target says of it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import StartOrder


class RunPhase(Enum):
    """Where a run is on its way."""

    STARTING = "starting"
    """The order is under way."""
    RUNNING = "running"
    """The target confirmed the start."""
    STOPPING = "stopping"
    """A stop is under way, or the end is not listed yet."""


class StartAnswer(Enum):
    """What the target said to a start."""

    STARTED = "started"
    REJECTED = "rejected"
    """It did nothing."""
    NUMBER_TOO_LOW = "number_too_low"
    """It did nothing: a run with this number or a higher one was there."""
    UNKNOWN = "unknown"
    """No answer; the order may still be carried out."""


class ListedRun(msgspec.Struct, frozen=True):
    """A run that the target lists as running."""

    task: TaskKey
    number: int
    percent: int = 0
    """Share of the work that is done, 0 to 100."""


class ListedEnd(msgspec.Struct, frozen=True):
    """A run that the target lists as ended."""

    position: int
    """The place in the target's list of ends; rises."""
    task: TaskKey
    number: int
    end: RunEnd


class RunList(msgspec.Struct, frozen=True):
    """What a target answered when its lease was renewed."""

    life: TargetLife
    """The life that answered."""
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


class Run:
    """One run that the guard answers for."""

    __slots__ = (
        "demand",
        "entry",
        "is_confirmed",
        "number",
        "owner_epoch",
        "percent",
        "percent_reported_at",
        "phase",
        "request_number",
        "start_resolved_at",
        "stop_acknowledged_at",
        "stop_sent_at",
        "task",
    )

    def __init__(
        self, request: StartOrder, number: int, entry: EntryId
    ) -> None:
        self.task = request.task
        self.request_number = request.order
        self.number = number
        self.entry = entry
        self.demand = request.demand
        self.owner_epoch = request.tenure
        self.phase = RunPhase.STARTING
        self.is_confirmed = False
        """Whether the target is known to have started it."""
        self.percent = 0
        self.percent_reported_at = float("-inf")
        """When the target told that share of the work."""
        self.start_resolved_at = float("inf")
        """When the target's word on the start came."""
        self.stop_sent_at = float("-inf")
        self.stop_acknowledged_at = float("inf")

    @property
    def is_durable(self) -> bool:
        """Whether its end is held until it is stored."""
        return self.owner_epoch > 0
