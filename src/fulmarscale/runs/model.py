"""Jobs of steps, their tasks, and the runs of a task.

A task may be run again once its former run has surely ended. Times are in
seconds unless the name says otherwise.
"""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

JobId = NewType("JobId", str)
"""Names a job; chosen by the caller."""

QueueName = NewType("QueueName", str)
"""Names a queue, the contract under which a job is handed in."""

ServiceName = NewType("ServiceName", str)
"""Names a pool of targets."""

TargetId = NewType("TargetId", str)
"""Names a target; a target that starts again may keep it."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of what a target has and a task takes."""

    cpu_millicores: int = 0
    """Processor time, in thousandths of a core."""
    memory_mb: int = 0
    """Memory, in megabytes."""
    accelerators: int = 0
    """Whole accelerators."""

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: Resources) -> bool:
        """Tell whether this amount is within another."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class TaskKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Names one task of one job."""

    job_id: JobId
    """The job."""
    occurrence: int
    """Which time of a job that recurs, from 0."""
    step: int
    """The step, from 0."""
    index: int
    """The position of the task in its step, from 0."""


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of a job that are alike."""

    count: int
    """The number of tasks."""
    demand: Resources
    """What each task takes."""
    declared_s: float
    """The caller's rough estimate of a task's run time."""
    after: tuple[int, ...] = ()
    """Steps whose tasks must all be done first."""
    required_label: str = ""
    """A label that the target must have; empty for none."""
    most_per_target: int = 0
    """The most tasks of the step on one target; 0 for no bound."""
    data_rack: str = ""
    """The rack where the step's data is; empty for none."""


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """What a caller hands in."""

    payload: str
    """Passed to each task unread."""
    steps: tuple[Step, ...]
    """The steps."""
    is_kept: bool = False
    """Whether it is stored before it is accepted, and run to its end."""


class TargetState(Enum):
    """Whether a target takes new runs."""

    READY = "ready"
    DRAINING = "draining"


class TargetLife(msgspec.Struct, frozen=True, array_like=True):
    """One life of a target: from its start to its end."""

    target: TargetId
    """The target."""
    born_ms: int
    """When it started, in Unix milliseconds by its own clock."""


class TargetReport(msgspec.Struct, frozen=True, array_like=True):
    """What a target says of itself."""

    life: TargetLife
    """Which life speaks."""
    service: ServiceName
    """The pool that it belongs to."""
    data_centre: str
    """Where it is."""
    state: TargetState
    """Whether it takes new runs."""
    capacity: Resources
    """What it has in all."""
    labels: tuple[str, ...] = ()
    """Its kind and its rack."""


class RunEnd(Enum):
    """How a run ended, or that it never began."""

    DONE = "done"
    FAILED = "failed"
    """By its own fault or the target's."""
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease ran out, or its target's life is over."""
    NOT_STARTED = "not_started"
    """It did not start, and that attempt never will."""


class RefusalReason(Enum):
    """Why an agent did not start a run."""

    NO_ROOM = "no_room"
    DRAINING = "draining"
    NO_TARGET = "no_target"
    DATA_CENTRE_OUT = "data_centre_out"
    WRONG_SERVICE = "wrong_service"
    STALE = "stale"
    """The order rests on what the entry knew too long ago."""
    REJECTED = "rejected"
    """The target did not take it."""
    WITHDRAWN = "withdrawn"
    """The entry took the order back before the start."""
    UNCONFIRMED = "unconfirmed"
    """The target gave no answer and was made to forget the order."""
