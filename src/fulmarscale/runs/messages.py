"""Typed messages between entries and agents about runs.

Times are in seconds unless the name says otherwise.
"""

from __future__ import annotations

from fulmarscale.ids import EntryId
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_state import SiteState
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import Record


class StartOrder(Record):
    """Start a task if there is room now."""

    task: TaskKey
    """The task."""
    service: ServiceName
    """The pool that the queue leads to."""
    demand: Resources
    """What the task takes."""
    payload: str
    """Passed to the target unread."""
    order: int
    """Names the order; its report carries it."""
    required_label: str = ""
    """A label that the target must have; empty for none."""
    tenure: int = 0
    """Which ownership of a kept job gives the order; 0 if it is not kept.

    The end of a kept job's run is stored before the target forgets it.
    """


class RunReport(Record):
    """What became of a run."""

    task: TaskKey
    """The task."""
    order: int
    """The order that asked for the run; 0 if that is not known any more."""
    number: int
    """The run's number; 0 if none was given."""
    end: RunEnd
    """How it ended."""
    refusal: RefusalReason | None = None
    """Why it did not start."""


class RunProgress(Record):
    """How far a run is."""

    task: TaskKey
    """The task."""
    percent: int
    """Share of its work that is done, 0 to 100."""
    age_s: float = 0.0
    """How long ago the target said so."""


class ExpectedRun(Record):
    """A run that an entry gave out on an earlier stream."""

    task: TaskKey
    """The task."""
    order: int
    """The order that asked for it."""


class KeptEnd(Record):
    """An end that an agent holds until it is stored."""

    life: TargetLife
    """The target's life that listed it."""
    position: int
    """Its place on that life's list of ends."""
    task: TaskKey
    """The task."""
    is_done: bool
    """Whether the run ended well; otherwise it failed."""
    entry: EntryId | None = None
    """Who ordered the run; none if another life of the agent knew."""
    order: int = 0
    """The order that asked for it."""
    tenure: int = 0
    """Which ownership of the job gave the order."""


class EndReceipt(Record):
    """An entry's word on an end that an agent holds."""

    life: TargetLife
    """The target's life that listed it."""
    position: int
    """Its place on that life's list of ends."""
    is_void: bool = False
    """Whether it must not count: its task may have been started again.

    The target may forget it only after its lease has run out.
    """


class EntryMessage(Record):
    """From an entry to an agent."""

    entry: EntryId
    """The sender's life."""
    sequence: int
    """Rises with each message of one stream."""
    echo: AgentToken | None
    """The agent's newest token that the entry holds."""
    starts: tuple[StartOrder, ...] = ()
    """Tasks to start."""
    stops: tuple[TaskKey, ...] = ()
    """Tasks to stop; what hasn't started never will by earlier orders."""
    expected: tuple[ExpectedRun, ...] = ()
    """Runs that the entry counts on; sent once, when a stream opens."""
    site_revision: int = 0
    """The revision of the operators' state that the entry knows."""
    site: SiteState | None = None
    """That state, for an agent that knows an older one."""
    backlog: int = 0
    """Thousandths of a core that waiting tasks ask for at the entry."""
    slack_s: float = 0.0
    """Time that the most urgent waiting job has left to start on time."""
    receipts: tuple[EndReceipt, ...] = ()
    """What became of ends that the agent holds."""
    has_kept_jobs: bool = False
    """Whether any job is kept, as far as the entry knows."""
    asks: bool = False
    """Whether the entry wants a message with a new token at once."""


class AgentMessage(Record):
    """From an agent to an entry."""

    name: str
    """The agent's name."""
    token: AgentToken
    """The agent's time now."""
    data_centre: str
    """Where the agent is."""
    heard_sequence: int = 0
    """The entry's newest message that this one takes account of."""
    target: TargetReport | None = None
    """The target beside it; none while it is down."""
    used: Resources = Resources()
    """What all runs take, those that start or stop included."""
    reports: tuple[RunReport, ...] = ()
    """What became of the entry's runs."""
    progress: tuple[RunProgress, ...] = ()
    """How far the entry's runs are."""
    site_revision: int = 0
    """The revision of the operators' state that the agent knows."""
    site: SiteState | None = None
    """That state, for an entry that knows an older one."""
    others_backlog: int = 0
    """Thousandths of a core that waiting tasks ask for at other entries."""
    is_stopping: bool = False
    """Whether the agent takes no new runs as it is about to stop."""
    is_promised: bool = False
    """Whether the room is offered to another entry first."""
    held_ends: tuple[KeptEnd, ...] = ()
    """Ends to be stored: the entry's own, and those of entries gone."""
