"""The state of a run at its agent, and the target's lists of runs.

Used by the run guard and the clients of targets on the users' platform.
"""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.runs.limits import LATE_START_S
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import StartRequest
    from fulmarscale.runs.model import EndCause


class RunPhase(Enum):
    """The phase of a run at its agent."""

    STARTING = "starting"
    """The start request was sent, and the target has not responded yet."""
    RUNNING = "running"
    """The target confirmed the start."""
    STOPPING = "stopping"
    """A stop was requested, and the run is not known to have ended yet."""


class StartResponse(Enum):
    """The target's response to a start request."""

    STARTED = "started"
    REJECTED = "rejected"
    """The target did not start the run."""
    NUMBER_TOO_LOW = "number_too_low"
    """The target did not start it: it had a run with this number or above."""
    UNKNOWN = "unknown"
    """No response came; the target may still start the run."""


class ListedRun(msgspec.Struct, frozen=True):
    """A run that the target lists as running."""

    task: TaskKey
    number: int
    percent: int = 0
    """Share of the work that is done, 0 to 100."""


class ListedCompletion(msgspec.Struct, frozen=True):
    """A run that the target lists as completed."""

    position: int
    """The position in the target's list of completions; rises."""
    task: TaskKey
    number: int
    outcome: RunOutcome


MAX_SIGN_AGE_S: Final = 0.35
"""Time without a sign of a run after which it may have ended unnoticed.

A target that responds lists its runs after 0.25 s at the latest, and at once
when one completes.
"""

MAX_LISTED_COMPLETIONS: Final = 500
"""Most completions that a target lists at a time.

It lists later ones once it may forget some of these.
"""


class RunList(msgspec.Struct, frozen=True):
    """A target's response to a renewal of its lease."""

    incarnation: TargetIncarnation
    """The incarnation that responded."""
    running: tuple[ListedRun, ...]
    completions: tuple[ListedCompletion, ...]
    clock_ms: int
    """When it was made, by the target's own clock."""

    @property
    def is_truncated(self) -> bool:
        """Whether there may be completions that are not listed."""
        return len(self.completions) >= MAX_LISTED_COMPLETIONS


class Run:
    """One run that the guard has started and that has not ended yet."""

    __slots__ = (
        "demand",
        "entry",
        "is_confirmed",
        "is_exclusive",
        "is_stop_pending",
        "number",
        "owner_epoch",
        "percent",
        "percent_reported_at",
        "phase",
        "queue",
        "request_number",
        "requested_at",
        "start_resolved_at",
        "stop_acknowledged_at",
        "stop_cause",
        "stop_sent_at",
        "task",
    )

    def __init__(
        self, request: StartRequest, number: int, entry: EntryId, now: float
    ) -> None:
        self.task = request.task
        self.queue = request.queue
        """The queue of the task's job."""
        self.requested_at = now
        """When its start was requested from the target."""
        self.request_number = request.request_number
        """Identifies the entry's start request."""
        self.number = number
        """The run's number; rises with each run of the task."""
        self.entry = entry
        self.demand = request.demand
        self.owner_epoch = request.owner_epoch
        """The fencing number of a durable job's owner; 0 for other jobs."""
        self.is_exclusive = request.is_exclusive
        """Whether no other job's task may start beside the run."""
        self.phase = RunPhase.STARTING
        self.is_confirmed = False
        """Whether the target has responded that it started the run."""
        self.percent = 0
        self.percent_reported_at = float("-inf")
        """When the target reported that percentage."""
        self.start_resolved_at = float("inf")
        """When the start request was resolved, even if no response came."""
        self.stop_cause: EndCause | None = None
        """Why the run is being stopped; none if it isn't."""
        self.stop_sent_at = float("-inf")
        self.is_stop_pending = False
        """Whether a stop request was sent and not resolved yet."""
        self.stop_acknowledged_at = float("inf")

    @property
    def begun_at(self) -> float:
        """When the target last showed that the run has begun.

        Minus infinity if it has not.
        """
        if self.percent_reported_at > float("-inf") or not self.is_confirmed:
            return self.percent_reported_at
        return self.start_resolved_at

    def is_certain(self, now: float) -> bool:
        """Return whether the target has just shown that the run goes on.

        It was not told to end it either.

        :param now: the agent's time.
        """
        is_stop_sent = self.stop_sent_at > float("-inf")
        return now - self.begun_at <= MAX_SIGN_AGE_S and not is_stop_sent

    def may_begin(self, now: float) -> bool:
        """Return whether the target may still carry out the start request.

        The end of its lease doesn't rule that out.

        :param now: the agent's time.
        """
        if self.begun_at > float("-inf"):
            return False
        return now - self.requested_at <= LATE_START_S

    def forget_stops(self) -> None:
        """Forget all stops, as another incarnation doesn't know of them."""
        self.stop_acknowledged_at = float("inf")
        self.is_stop_pending = False

    @property
    def is_durable(self) -> bool:
        """Whether the run is of a durable job, whose outcome gets stored."""
        return self.owner_epoch > 0
