"""The data model of jobs: steps, tasks, runs, targets and resources.

A task may be run again only once its earlier run is certain to have ended.
Times are in seconds unless the name says otherwise.
"""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

from fulmarscale.decoding import BoundedInt

JobId = NewType("JobId", str)
"""The identifier of a job, chosen by the caller."""

QueueName = NewType("QueueName", str)
"""The name of a queue, the contract under which jobs are submitted."""

ServiceName = NewType("ServiceName", str)
"""The name of a service, a pool of targets."""

TargetId = NewType("TargetId", str)
"""The identifier of a target; it may stay the same after a restart."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of processor time, memory and accelerators."""

    cpu_millicores: BoundedInt = 0
    """Processor time, in thousandths of a core."""
    memory_mb: BoundedInt = 0
    """Memory, in megabytes."""
    accelerators: BoundedInt = 0
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

    def fits(self, available: Resources) -> bool:
        """Return whether no amount exceeds the available one."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class TaskKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The identifier of a task."""

    job_id: JobId
    """The job."""
    occurrence: int
    """The number of the job's occurrence if it recurs, from 0."""
    step: int
    """The number of the step, from 0."""
    index: int
    """The position of the task in its step, from 0."""

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: a number of tasks that are alike."""

    count: int
    """The number of tasks."""
    demand: Resources
    """The resources that each task needs."""
    declared_s: float
    """The caller's rough estimate of a task's run time."""
    after: tuple[int, ...] = ()
    """Numbers of the steps whose tasks must all be done first."""
    required_label: str = ""
    """A label that the target must have; empty for none."""
    max_tasks_per_target: int = 0
    """The most tasks of the step on one target; 0 for no bound."""
    data_rack: str = ""
    """The rack where the step's data is; empty for none."""


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as the caller submits it."""

    payload: str
    """The opaque input that each task gets."""
    steps: tuple[Step, ...]
    """The steps."""
    is_durable: bool = False
    """Whether the job is durable.

    A durable job is stored before it is accepted and run until it completes.
    """


class TargetState(Enum):
    """Whether a target accepts new runs."""

    READY = "ready"
    DRAINING = "draining"
    """The target finishes its runs and accepts no new ones."""


class TargetIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a target: the time from its start to its end."""

    target: TargetId
    """The target."""
    born_ms: BoundedInt
    """When it started, in Unix milliseconds by its own clock."""


class TargetReport(msgspec.Struct, frozen=True, array_like=True):
    """A target's report of its identity, state and capacity."""

    incarnation: TargetIncarnation
    """The target's incarnation."""
    service: ServiceName
    """The pool that the target belongs to."""
    data_centre: str
    """The target's data centre."""
    state: TargetState
    """Whether the target accepts new runs."""
    capacity: Resources
    """The target's total resources."""
    labels: tuple[str, ...] = ()
    """The target's kind and rack."""
    leaves_at: float | None = None
    """When the target may end, by its agent's clock; none if not known."""
    cold_until: float | None = None
    """When it has warmed up after its start; none if it has."""


class RunOutcome(Enum):
    """The outcome of a run, or of a start request without a run."""

    DONE = "done"
    """The run succeeded."""
    FAILED = "failed"
    """The run failed, because of the task or the target."""
    STOPPED = "stopped"
    """The agent stopped the run."""
    LAPSED = "lapsed"
    """Its lease ran out, or its target's incarnation ended.

    Also reported for an expected run that the agent doesn't know, and for a
    running one that the target no longer lists.
    """
    CRASHED = "crashed"
    """Its target crashed. The task, or another one there, may be the cause."""
    NOT_STARTED = "not_started"
    """The run did not start and never will by this request."""


class EndCause(Enum):
    """How an agent concluded that a run has ended, or why it stopped it."""

    LISTED = "listed"
    """The target listed its end."""
    NOT_LISTED = "not_listed"
    """The target no longer listed it as running."""
    LEASE_EXPIRED = "lease_expired"
    """Its lease expired while the target did not respond."""
    TARGET_RESTARTED = "target_restarted"
    """A list of runs showed that the target had restarted."""
    TARGET_REPLACED = "target_replaced"
    """The agent adopted another incarnation from its heartbeat."""
    RUN_UNKNOWN = "run_unknown"
    """The agent has no record of it, as after its own restart."""
    WITHDRAWN = "withdrawn"
    """The entry had it stopped."""
    ENTRY_GONE = "entry_gone"
    """The agent stopped it, as it took the entry for gone."""
    START_UNCONFIRMED = "start_unconfirmed"
    """The agent stopped it, as the target had not confirmed its start."""


class RefusalReason(Enum):
    """Why an agent did not start a run."""

    NO_ROOM = "no_room"
    """The target has too little free capacity."""
    DRAINING = "draining"
    """The target or its agent accepts no new runs."""
    NO_TARGET = "no_target"
    """The target is down or can't be given runs yet."""
    DATA_CENTRE_OUT = "data_centre_out"
    """Operators have taken the data centre out of service."""
    WRONG_SERVICE = "wrong_service"
    """The target belongs to another service or lacks the required label."""
    STALE = "stale"
    """The entry's last echo is older than MAX_ECHO_AGE_S."""
    REJECTED = "rejected"
    """The target refused the run."""
    WITHDRAWN = "withdrawn"
    """The task already has a run."""
    UNCONFIRMED = "unconfirmed"
    """The target did not answer, and the request was cancelled there."""
