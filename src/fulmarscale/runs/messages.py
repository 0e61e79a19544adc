"""Messages between entries and agents about runs.

Times are in seconds unless the name says otherwise.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import TypeVar

import msgspec

from fulmarscale.ids import EntryId
from fulmarscale.runs.crashes import TargetCrash
from fulmarscale.runs.lost_agent_starts import LostAgentStart
from fulmarscale.runs.model import EndCause
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_config import SiteConfig
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import MessagePart

Item = TypeVar("Item")

MAX_ITEMS: Final = 10_000
"""The most requests of one kind in a message to an agent.

A few bytes stand for each, so that the length of the message doesn't bound
what an agent has to keep and to do for it.
"""

Items = Annotated[tuple[Item, ...], msgspec.Meta(max_length=MAX_ITEMS)]


class StartRequest(MessagePart):
    """A request to start a run of a task, if there is free capacity now."""

    task: TaskKey
    """The task."""
    service: ServiceName
    """The pool of targets that the job's queue uses."""
    demand: Resources
    """The resources that the task needs."""
    payload: str
    """The opaque input that the target gets."""
    request_number: int
    """The number of the request, which is repeated in reports of its run."""
    required_label: str = ""
    """A label that the target must have; empty for none."""
    owner_epoch: int = 0
    """The owner epoch of a durable job, a fencing number; 0 otherwise.

    The completion of a durable job's run is stored before the target may
    forget it.
    """
    queue: QueueName = QueueName("")
    """The queue of the job, for records of crashes."""
    is_exclusive: bool = False
    """Whether no other job's task may start beside the run."""
    probation_s: float = 0.0
    """Time after the start in which no other job's task may start there."""


class RunEnd(MessagePart):
    """What an agent knew when it concluded that a run has ended."""

    cause: EndCause
    """How it came to that conclusion."""
    is_confirmed: bool | None = None
    """Whether the target had confirmed the start; none if not known."""
    list_age_s: float | None = None
    """Age of the target's newest list of runs; none if there was none."""


class RunReport(MessagePart):
    """The outcome of a run."""

    task: TaskKey
    """The task."""
    request_number: int
    """The number of the start request."""
    number: int
    """The run's number; 0 if none was assigned."""
    outcome: RunOutcome
    """The outcome."""
    refusal: RefusalReason | None = None
    """Why the run did not start; none if it started."""
    end: RunEnd | None = None
    """How a run ended whose task is started again; none if not known."""


class RunProgress(MessagePart):
    """The progress of a run."""

    task: TaskKey
    """The task."""
    percent: int
    """Share of its work that is done, 0 to 100."""
    age_s: float = 0.0
    """Time since the target reported it."""


class ExpectedRun(MessagePart):
    """A run that an entry requested on an earlier stream."""

    task: TaskKey
    """The task."""
    request_number: int
    """The number of the start request."""


class UnconfirmedStart(MessagePart):
    """A start that a target may still carry out, by an agent's former process.

    Entries hand back to an agent that has started again what they know.
    """

    task: TaskKey
    """The task."""
    left_s: float
    """Time until the target can't carry it out any more."""


class DurableCompletion(MessagePart):
    """The completion of a durable job's run, not yet acknowledged.

    The agent keeps it until an entry has stored or discarded it.
    """

    incarnation: TargetIncarnation
    """The incarnation of the target that ran it."""
    position: int
    """Its position in that incarnation's list of completions."""
    task: TaskKey
    """The task."""
    is_done: bool
    """Whether the run succeeded; otherwise it failed."""
    entry: EntryId | None = None
    """The entry that requested the run.

    None if only an earlier incarnation of the agent knew it. The job need not
    be durable then.
    """
    request_number: int = 0
    """The number of the start request."""
    owner_epoch: int = 0
    """The owner epoch under which the run was requested."""


class CompletionAck(MessagePart):
    """An entry's acknowledgement of a completion that an agent keeps."""

    incarnation: TargetIncarnation
    """The incarnation of the target that ran it."""
    position: int
    """Its position in that incarnation's list of completions."""
    is_discarded: bool = False
    """Whether the completion is discarded, as its task may have run again.

    The target may forget it only after its lease has run out.
    """


class QueueLoad(MessagePart):
    """What the runs of one queue use of a target."""

    queue: QueueName
    """The queue."""
    millicores: int
    """Their processor demand, in thousandths of a core."""


class ClassDemand(MessagePart):
    """The waiting tasks of one priority class."""

    priority: int
    """The class: the priority of the jobs' queues; 0 is the highest."""
    millicores: int
    """Their demand, in thousandths of a core."""
    slack_s: float = 0.0
    """Time until the latest start of their most urgent job."""


class EntryMessage(MessagePart):
    """A message from an entry to an agent."""

    entry: EntryId
    """The sender and its incarnation."""
    sequence: int
    """The number of the message, rising on each stream."""
    echo: AgentToken | None
    """The agent's newest token that the entry has received."""
    starts: Items[StartRequest] = ()
    """Requests to start runs."""
    stops: Items[TaskKey] = ()
    """Tasks whose runs are to be stopped.

    Earlier requests to start them are withdrawn.
    """
    expected: Items[ExpectedRun] = ()
    """Runs that the entry requested on earlier streams.

    Sent once, when a stream opens.
    """
    site_revision: int = 0
    """The revision of the site configuration that the entry has."""
    site: SiteConfig | None = None
    """The site configuration, for an agent that has an older one."""
    backlog: int = 0
    """Demand of the entry's waiting tasks, in thousandths of a core."""
    slack_s: float = 0.0
    """Time until the latest start of the most urgent waiting job."""
    acks: Items[CompletionAck] = ()
    """Acknowledgements of completions that the agent keeps."""
    has_durable_jobs: bool = False
    """Whether any durable jobs may exist, as far as the entry knows.

    Read only by agents of versions before the entry acknowledged ends of
    unknown runs.
    """
    is_probe: bool = False
    """Whether this is a capacity probe: the agent replies at once."""
    has_confined_queues: bool = False
    """Whether the entry confines queues and needs their loads by target."""
    unconfirmed: Items[UnconfirmedStart] = ()
    """Starts by the agent's former processes; sent once to a new process."""
    demands: Items[ClassDemand] = ()
    """The backlog by priority class, the most urgent class first.

    Empty if the site has no priorities.
    """
    knows_durable_jobs: bool = False
    """Whether the entry knows that durable jobs exist or are being stored."""
    lost_agent_starts: Items[LostAgentStart] = ()
    """Starts that the entry requested from agents that it has lost.

    Each is sent once on a stream. The agent tells the other entries.
    """


class AgentMessage(MessagePart):
    """A message from an agent to an entry."""

    name: str
    """The agent's name."""
    token: AgentToken
    """The agent's current time, to be echoed by the entry."""
    data_centre: str
    """The agent's data centre."""
    last_sequence: int = 0
    """The number of the entry's last message that is reflected here."""
    target: TargetReport | None = None
    """The agent's target; none while it is down."""
    used: Resources = Resources()
    """Resources of all runs, including those that are starting or stopping."""
    reports: tuple[RunReport, ...] = ()
    """Outcomes of the entry's runs."""
    progress: tuple[RunProgress, ...] = ()
    """Progress of the entry's runs that have begun."""
    site_revision: int = 0
    """The revision of the site configuration that the agent has."""
    site: SiteConfig | None = None
    """The site configuration, for an entry that has an older one."""
    others_backlog: int = 0
    """Demand of waiting tasks at other entries, in thousandths of a core."""
    is_stopping: bool = False
    """Whether the agent shuts down and starts no new runs."""
    is_offered_elsewhere: bool = False
    """Whether the free capacity is offered to another entry first."""
    completions: tuple[DurableCompletion, ...] = ()
    """Unacknowledged completions of this entry and of lost entries."""
    crashes: tuple[TargetCrash, ...] = ()
    """Crashes of the target; sent when a stream opens and on changes."""
    queue_loads: tuple[QueueLoad, ...] = ()
    """The runs by queue; empty if the entry has no confined queues."""
    probation_s: float = 0.0
    """Time until runs of other jobs may start, after one on probation."""
    unconfirmed: tuple[TaskKey, ...] = ()
    """Tasks of any entry whose runs may begin or go on at the target.

    Their start requests got no response, so that the target may still carry
    them out, or it lists runs that this process of the agent did not start.
    """
    unconfirmed_left_s: tuple[float, ...] = ()
    """Time until that is ruled out, for each of them.

    Empty from agents of versions that don't tell it.
    """
    other_demands: tuple[ClassDemand, ...] = ()
    """`others_backlog` by priority class, the most urgent class first.

    Empty if the site has no priorities.
    """
    durable_jobs_exist: bool = False
    """Whether any entry has told the agent that it knows of durable jobs."""
    lost_agent_starts: tuple[LostAgentStart, ...] = ()
    """Starts that other entries requested from agents that they have lost."""
