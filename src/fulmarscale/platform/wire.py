"""The platform's messages, decoded into types that say what they hold.

Names on the wire are camel-cased; where one misleads, a comment tells what
it holds. Nothing outside this package knows them.
"""

from __future__ import annotations

import base64
import binascii
from typing import Annotated
from typing import Final

import msgspec

from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_state import Queue
from fulmarscale.runs.site_state import SiteState

OPERATOR_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
CLOSED_PREFIX: Final = "evacuate/"

Whole = Annotated[int, msgspec.Meta(ge=0)]


class WireStruct(msgspec.Struct, frozen=True, rename="camel"):
    """The base of all messages; unknown fields are ignored."""


class WireAmount(WireStruct):
    """An amount of a target's resources."""

    cpu: Whole = 0
    """Thousandths of a core."""
    mem_mb: Whole = 0
    gpu: Whole = 0

    def decode(self) -> Resources:
        """Give the amount in the product's terms."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class WireStep(WireStruct):
    """A step of a job that a caller hands in."""

    count: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 1
    cpu: Whole = 0
    """Thousandths of a core, for each task."""
    mem_mb: Whole = 0
    gpu: Whole = 0
    estimated_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    after: tuple[Whole, ...] = ()
    constraints: str = ""
    """One label, in spite of the plural."""
    anti_affinity: Whole = 0
    """The most tasks of the step on one target."""
    data_rack: str = ""
    gang: bool = False
    fills: bool = False

    def decode(self) -> Step:
        """Give the step in the product's terms."""
        return Step(
            count=self.count,
            demand=Resources(self.cpu, self.mem_mb, self.gpu),
            declared_s=self.estimated_ms / 1000,
            after=self.after,
            required_label=self.constraints,
            most_per_target=self.anti_affinity,
            data_rack=self.data_rack,
        )


class WireJob(WireStruct):
    """A job that a caller hands in."""

    steps: Annotated[
        tuple[WireStep, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    spec: str = ""
    """Passed to each task unread; not a description of the job."""
    best_effort: bool = False
    """Whether the answer comes when the job has ended, and nothing is kept."""
    long_running: bool = False
    run_count: int = 0
    """Over 0: the job is due this many times."""

    @property
    def unserved(self) -> str:
        """What the job asks for that is not served yet; empty for nothing."""
        if self.long_running or self.run_count > 0:
            return "jobs that last or recur are not served yet"
        if any(
            (step.gang and step.count > 1) or step.fills for step in self.steps
        ):
            return "gangs and tasks that fill are not served yet"
        return ""

    def decode(self) -> JobSpec:
        """Give the job in the product's terms.

        :raises ValueError: if a step comes after a later one.
        """
        for number, step in enumerate(self.steps):
            if any(earlier >= number for earlier in step.after):
                raise ValueError("a step may only come after earlier ones")
        steps = tuple(step.decode() for step in self.steps)
        return JobSpec(self.spec, steps, is_kept=not self.best_effort)


class WireHeartbeat(WireStruct):
    """What a runner says of itself every so often."""

    service: str
    address: str
    """Where the runner takes calls; not where the heartbeat comes from."""
    zone: str
    state: str
    capacity: WireAmount
    call_seq: int
    """Rises with each heartbeat of one life."""
    clock_ms: Whole
    """The runner's own steady clock."""
    born: int
    """Unix milliseconds of the runner's start, by its own time of day."""
    labels: tuple[str, ...] = ()

    def decode(self, runner_id: str) -> TargetReport:
        """Give the report in the product's terms.

        :raises ValueError: if the state is none that the platform names.
        """
        return TargetReport(
            life=TargetLife(TargetId(runner_id), self.born),
            service=ServiceName(self.service),
            data_centre=self.zone,
            state=TargetState(self.state),
            capacity=self.capacity.decode(),
            labels=self.labels,
        )


class WireStart(WireStruct):
    """Tells a runner to start a run."""

    task: str
    run: int
    """The run's number."""
    spec: str
    """Passed to the task unread."""
    until_ms: int
    """The end of the lease of all runs there, by the runner's clock."""
    fencing_token: int


class WireStop(WireStruct):
    """Tells a runner to stop a run, or never to start it."""

    task: str
    run: int
    """The run's number."""
    fencing_token: int


class WireHold(WireStruct):
    """Asks a runner for its runs; not only a renewal of the lease."""

    fencing_token: int
    last_seen: int
    """The newest end that was taken in; ends up to it are forgotten."""
    wait_ms: int
    """How long the answer may wait for an end."""
    until_ms: int | msgspec.UnsetType = msgspec.UNSET
    """The end of the lease of all runs there; unset to extend nothing."""


class WireRunAnswer(WireStruct):
    """What a runner answers to an order."""

    clock_ms: Whole
    """The runner's own steady clock."""
    reason: str = ""
    """Why it did nothing; only with a 409."""


class WireRunList(WireStruct):
    """What a runner runs and what has ended there."""

    clock_ms: Whole
    """The runner's own steady clock."""
    born: int
    """Unix milliseconds of the runner's start."""
    running: tuple[tuple[msgspec.Raw, ...], ...] = ()
    """Rows of task, run, checkpoint, percent and, in some, a fifth entry."""
    ended: tuple[tuple[int, str, int, str, str], ...] = ()
    """Rows of position, task, run, how it ended, checkpoint."""


class WireRoute(WireStruct):
    """A queue, as the operator configures it."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    """Added to the stretched chain of work; not the objective itself."""
    advice: msgspec.Raw | None = None
    """Given if only another service knows which targets may run a step."""

    def decode(self) -> Queue:
        """Give the queue in the product's terms."""
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
    """Limits of what callers may send."""

    max_body_bytes: Whole = 262_144


class WireConfiguration(WireStruct):
    """The operator's configuration, in full."""

    version: int
    routes: tuple[WireRoute, ...]
    limits: WireLimits = WireLimits()


class WireRow(WireStruct):
    """A row of the store."""

    table: str
    key: str
    ver: int
    """The store's counter at the row's last change."""
    part: str = ""
    value: str = ""
    """Base64."""
    removed: bool = False

    def read_value(self) -> bytes:
        """Decode the value.

        :raises ValueError: if it is not base64.
        """
        try:
            return base64.b64decode(self.value, validate=True)
        except binascii.Error as error:
            raise ValueError(f"row {self.key}: not base64") from error


class WireRowName(WireStruct):
    """Names a row."""

    table: str
    part: str
    key: str


class WireRowVersion(WireStruct):
    """A row and the version that it must have."""

    table: str
    part: str
    key: str
    ver: int
    """0 if it must not exist."""


class WireRowWrite(WireStruct):
    """A row to be written."""

    table: str
    part: str
    key: str
    value: str
    """Base64."""


class WireTransaction(WireStruct):
    """A transaction; all of it is done or nothing."""

    set_keys: tuple[WireRowWrite, ...]
    """Rows to write, whole rows in spite of the name."""
    expected_rev: tuple[WireRowVersion, ...] = ()
    """Conditions; rows with their versions, not one revision."""
    remove: tuple[WireRowName, ...] = ()


class WireRows(WireStruct):
    """Rows as of one moment, or changed since one."""

    ver: int = 0
    """The newest version of the whole store, not of these rows."""
    rows: tuple[WireRow, ...] = ()
    has_more: bool = False


class WireParts(WireStruct):
    """The parts of a table that hold rows."""

    parts: tuple[str, ...] = ()


class WireTransactionAnswer(WireStruct):
    """The answer to a transaction that was applied."""

    ver: int


ENDS: Final = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.LAPSED,
    "alone": RunEnd.LAPSED,
}


def format_task(task: TaskKey) -> str:
    """Write a task's name as the platform does."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskKey:
    """Read a task's name.

    :raises ValueError: if it is none.
    """
    job_id, occurrence, step, index = text.split(".")
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(index))


def decode_site(rows: dict[str, bytes], revision: int) -> SiteState:
    """Read the operator's rows.

    :param rows: values by key.
    :param revision: the store's counter when they were read.
    :raises msgspec.MsgspecError: if the configuration can't be read.
    """
    closed = sorted(
        key.removeprefix(CLOSED_PREFIX)
        for key in rows
        if key.startswith(CLOSED_PREFIX)
    )
    value = rows.get(CONFIGURATION_KEY)
    if value is None:
        return SiteState(revision, closed_data_centres=tuple(closed))
    configuration = msgspec.json.decode(value, type=WireConfiguration)
    return SiteState(
        revision=revision,
        configuration_version=configuration.version,
        queues=tuple(route.decode() for route in configuration.routes),
        closed_data_centres=tuple(closed),
        longest_body_bytes=configuration.limits.max_body_bytes,
    )
