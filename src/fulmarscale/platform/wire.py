"""The platform's JSON messages and their conversion to internal types.

Fields have the platform's names, in snake case here and in camel case on the
wire. A docstring describes the field where the platform's name misleads. Code
outside this package uses the internal types only.
"""

from __future__ import annotations

import base64
import binascii
from typing import Annotated
from typing import Final

import msgspec

from fulmarscale.decoding import BoundedInt
from fulmarscale.decoding import decode_json
from fulmarscale.decoding import MAX_INTEGER
from fulmarscale.decoding import NonNegativeInt
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_config import Queue
from fulmarscale.runs.site_config import SiteConfig

OPERATOR_TABLE: Final = "op"
"""Store table that operators write."""

CONFIGURATION_KEY: Final = "config"
"""Key of the configuration's row in the operators' table."""

CLOSED_DATA_CENTRE_PREFIX: Final = "evacuate/"
"""Prefix of keys in the operators' table; a closed data centre follows."""


MAX_DURATION_S: Final = 3600.0
"""Longest time that a runner is believed to announce."""


def decode_duration_s(value: msgspec.Raw) -> float | None:
    """Decode an optional number of milliseconds.

    :param value: its JSON; empty if the field was missing.
    :returns: seconds, at most MAX_DURATION_S; none if it isn't a number or
        is negative, as the rest of the message is still of use.
    """
    try:
        duration_s = decode_json(value, float) / 1000
    except msgspec.MsgspecError:
        return None
    return min(duration_s, MAX_DURATION_S) if duration_s >= 0 else None


class WireStruct(msgspec.Struct, frozen=True, rename="camel"):
    """Base class of the platform's messages; ignores unknown fields."""


class WireResources(WireStruct):
    """Resources of a target."""

    cpu: NonNegativeInt = 0
    """Thousandths of a core."""
    mem_mb: NonNegativeInt = 0
    gpu: NonNegativeInt = 0

    def decode(self) -> Resources:
        """Convert to the internal type."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class WireStep(WireStruct):
    """A step of a submitted job: tasks with the same requirements."""

    count: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1
    """The number of tasks."""
    cpu: NonNegativeInt = 0
    """Demand of each task, in thousandths of a core."""
    mem_mb: NonNegativeInt = 0
    gpu: NonNegativeInt = 0
    estimated_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    """The caller's estimate of a task's run time."""
    after: tuple[NonNegativeInt, ...] = ()
    """Indices of the steps that must be done before this one."""
    constraints: str = ""
    """A single label that the target must have; empty for none."""
    anti_affinity: NonNegativeInt = 0
    """Maximum number of the step's tasks on one target; 0 for no limit."""
    data_rack: str = ""
    """Rack that holds the step's data; empty for none."""
    gang: bool = False
    """Whether the tasks form a gang; not supported for several tasks."""
    fills: bool = False
    """Whether the step has filling tasks; not supported."""

    def decode(self) -> Step:
        """Convert to the internal type."""
        return Step(
            count=self.count,
            demand=Resources(self.cpu, self.mem_mb, self.gpu),
            declared_s=self.estimated_ms / 1000,
            after=self.after,
            required_label=self.constraints,
            max_tasks_per_target=self.anti_affinity,
            data_rack=self.data_rack,
        )


class WireJob(WireStruct):
    """The body of a job submission."""

    steps: Annotated[
        tuple[WireStep, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    spec: str = ""
    """Payload, passed to each task uninterpreted; not a job description."""
    best_effort: bool = False
    """Whether the response waits for the job's outcome, without storing it.

    Otherwise the job is durable: the response confirms that it is stored.
    """
    long_running: bool = False
    """Whether the job is long-running; not supported."""
    run_count: BoundedInt = 0
    """How many times a recurring job is due; 0 for a job that runs once."""

    @property
    def unsupported_reason(self) -> str:
        """Reason to reject a job with unsupported features; empty for none."""
        if self.long_running or self.run_count > 0:
            return "long-running and recurring jobs are not supported yet"
        if any(
            (step.gang and step.count > 1) or step.fills for step in self.steps
        ):
            return "gangs and filling tasks are not supported yet"
        return ""

    def decode(self) -> JobSpec:
        """Convert to the internal type.

        :raises ValueError: if a step depends on itself or a later one.
        """
        for number, step in enumerate(self.steps):
            if any(earlier >= number for earlier in step.after):
                raise ValueError("a step may only depend on earlier steps")
        steps = tuple(step.decode() for step in self.steps)
        return JobSpec(self.spec, steps, is_durable=not self.best_effort)


class WireHeartbeat(WireStruct):
    """The periodic status report of a runner."""

    service: str
    """The pool of targets to which the runner belongs."""
    address: str
    """IP:port on which the runner accepts requests, not the sender's."""
    zone: str
    """The runner's data centre."""
    state: str
    capacity: WireResources
    call_seq: NonNegativeInt
    """Sequence number; increases with each heartbeat of one incarnation."""
    clock_ms: NonNegativeInt
    """The runner's monotonic clock."""
    born: NonNegativeInt
    """Start of the runner in Unix milliseconds, by its own wall clock.

    Together with the runner's id it identifies the incarnation.
    """
    labels: tuple[str, ...] = ()
    remaining_ms: msgspec.Raw = msgspec.Raw()
    """Least time until the runner ends; sent while it drains."""
    cold_left_ms: msgspec.Raw = msgspec.Raw()
    """How much longer the runner remains slow after its start."""

    @property
    def remaining_s(self) -> float | None:
        """Least time until the runner ends; none if it isn't known."""
        return decode_duration_s(self.remaining_ms)

    @property
    def cold_left_s(self) -> float | None:
        """How long the runner remains slow; none if it isn't known."""
        return decode_duration_s(self.cold_left_ms)

    def decode(self, runner_id: str) -> TargetReport:
        """Convert to the internal type.

        :param runner_id: the runner's id, which is not in the message.
        :raises ValueError: if the state is unknown.
        """
        return TargetReport(
            incarnation=TargetIncarnation(TargetId(runner_id), self.born),
            service=ServiceName(self.service),
            data_centre=self.zone,
            state=TargetState(self.state),
            capacity=self.capacity.decode(),
            labels=self.labels,
        )


class WireStartRequest(WireStruct):
    """Request to a runner to start a run."""

    task: str
    run: int
    """The run number."""
    spec: str
    """Payload, passed to the task uninterpreted."""
    until_ms: int
    """When the lease of all runs on the runner expires, by its clock."""
    fencing_token: int
    """The agent's token; the runner rejects one lower than any before."""


class WireStopRequest(WireStruct):
    """Request to a runner to stop a run, or never to start it."""

    task: str
    run: int
    """The run number."""
    fencing_token: int


class WireRenewRequest(WireStruct):
    """Long poll of a runner's runs, which may also renew their lease."""

    fencing_token: int
    last_seen: int
    """Newest completion already received; the runner drops all up to it."""
    wait_ms: int
    """How long the runner may delay the response to wait for a completion."""
    until_ms: int | msgspec.UnsetType = msgspec.UNSET
    """When the lease of all runs on the runner expires, by its clock.

    Unset if the lease is not to be extended.
    """


class WireRunResponse(WireStruct):
    """The response of a runner to a start or stop request."""

    clock_ms: NonNegativeInt
    """The runner's monotonic clock."""
    reason: str = ""
    """Why the request was rejected; only with status 409."""


class WireRunList(WireStruct):
    """The runs and completions of a runner, its response to a long poll."""

    clock_ms: NonNegativeInt
    """The runner's monotonic clock."""
    born: NonNegativeInt
    """Start of the runner in Unix milliseconds."""
    running: tuple[tuple[msgspec.Raw, ...], ...] = ()
    """Rows of task, run number, checkpoint, percent.

    Some rows have a fifth value, which is ignored.
    """
    ended: tuple[
        tuple[NonNegativeInt, str, NonNegativeInt, str, str], ...
    ] = ()
    """Rows of position, task, run number, outcome, checkpoint.

    The position increases with each completion.
    """


class WireRoute(WireStruct):
    """An entry of the operators' configuration that defines a queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: BoundedInt = 0
    """0 is the highest priority."""
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)] = 1
    """Number of failed runs of a task after which its job fails."""
    stretch: float = 1.0
    """Factor on a job's critical path in its latency objective."""
    target_latency_ms: float = 0.0
    """Latency allowed beyond the stretched critical path of a job.

    Only a part of the latency objective, in spite of the name.
    """
    advice: msgspec.Raw | None = None
    """Set if an external service chooses the targets that may run a step."""

    def decode(self) -> Queue:
        """Convert to the internal type."""
        return Queue(
            name=QueueName(self.name),
            host=self.host,
            path_prefix=self.path_prefix,
            service=ServiceName(self.service),
            priority=self.priority,
            max_attempts=self.max_attempts,
            stretch=self.stretch,
            allowance_s=self.target_latency_ms / 1000,
            needs_advice=self.advice is not None,
        )


class WireLimits(WireStruct):
    """Limits on callers' requests."""

    max_body_bytes: NonNegativeInt = 262_144


class WireConfiguration(WireStruct):
    """The complete configuration that operators write."""

    version: NonNegativeInt
    routes: tuple[WireRoute, ...]
    limits: WireLimits = WireLimits()


class WireRow(WireStruct):
    """A row as the store returns it."""

    table: str
    key: str
    ver: int
    """The store's revision at the row's last change."""
    part: str = ""
    value: str = ""
    """The value in base64."""
    removed: bool = False

    def read_value(self) -> bytes:
        """Decode the value.

        :raises ValueError: if it is not valid base64.
        """
        try:
            return base64.b64decode(self.value, validate=True)
        except binascii.Error as error:
            raise ValueError(
                f"row {self.key}: value is not valid base64"
            ) from error


class WireRowKey(WireStruct):
    """The key of a row."""

    table: str
    part: str
    key: str


class WireRowVersion(WireStruct):
    """A precondition of a transaction: a row's current version."""

    table: str
    part: str
    key: str
    ver: int
    """The version that the row must have; 0 if it must not exist."""


class WireRowWrite(WireStruct):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str
    """The value in base64."""


class WireTransaction(WireStruct):
    """An atomic transaction."""

    set_keys: tuple[WireRowWrite, ...]
    """Rows to write, with their values."""
    expected_rev: tuple[WireRowVersion, ...] = ()
    """Preconditions: a version for each row, not a revision of the store."""
    remove: tuple[WireRowKey, ...] = ()
    """Rows to remove."""


class WireRows(WireStruct):
    """A page of a table at one revision, or the changes since a revision."""

    ver: int = 0
    """The store's revision, not the newest version of these rows."""
    rows: tuple[WireRow, ...] = ()
    has_more: bool = False
    """Whether further pages follow."""


class WireParts(WireStruct):
    """A page of the names of a table's parts that hold rows."""

    parts: tuple[str, ...] = ()


class WireTransactionResponse(WireStruct):
    """The response to a transaction that was applied."""

    ver: int
    """The store's revision after it, the version of all rows written."""


OUTCOMES_BY_NAME: Final = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "broken": RunOutcome.LAPSED,
    "alone": RunOutcome.LAPSED,
}
"""Internal outcomes of runs by the platform's names."""


def format_task(task: TaskKey) -> str:
    """Format a task key as the platform's task name."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskKey:
    """Parse the platform's name of a task.

    :raises ValueError: if it is malformed.
    """
    job_id, *texts = text.split(".")
    occurrence, step, index = (int(each) for each in texts)
    if max(abs(occurrence), abs(step), abs(index)) > MAX_INTEGER:
        raise ValueError(f"a number is out of range: {text}")
    return TaskKey(JobId(job_id), occurrence, step, index)


def decode_site_config(rows: dict[str, bytes], revision: int) -> SiteConfig:
    """Decode the rows of the operators' table.

    :param rows: values by key.
    :param revision: the store's revision when they were read.
    :raises msgspec.MsgspecError: if the configuration can't be decoded.
    """
    closed = sorted(
        key.removeprefix(CLOSED_DATA_CENTRE_PREFIX)
        for key in rows
        if key.startswith(CLOSED_DATA_CENTRE_PREFIX)
    )
    value = rows.get(CONFIGURATION_KEY)
    if value is None:
        return SiteConfig(revision, closed_data_centres=tuple(closed))
    configuration = decode_json(value, WireConfiguration)
    return SiteConfig(
        revision=revision,
        configuration_version=configuration.version,
        queues=tuple(route.decode() for route in configuration.routes),
        closed_data_centres=tuple(closed),
        max_body_bytes=configuration.limits.max_body_bytes,
    )
