"""Typed messages among entries, and between entries and agents.

Each class derived from `Message` is tagged with its class name on the wire.
All structs are encoded as arrays in the order of their fields. Times are in
seconds unless the name says otherwise. Payloads and results are JSON texts
that are passed through without being parsed.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from fulmarscale.control.configuration import Configuration
from fulmarscale.control.entry_list import EntryList
from fulmarscale.control.entry_list import Member
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.ids import AgentId
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.ids import EntryId
from fulmarscale.ids import SubmissionId
from fulmarscale.ids import TaskRef

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
"""A share, from 0 to 1."""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages; tagged with the class name on the wire."""


class MessagePart(msgspec.Struct, frozen=True, array_like=True):
    """Base class of structs that are parts of messages."""


class AgentToken(MessagePart):
    """A timestamp of an agent's own clock, which entries send back as an echo.

    An entry echoes the newest token that it held when its last lease
    confirmation began. The age of an echo therefore tells the agent how old
    the entry's lease confirmation is at most, without synchronized clocks.
    """

    incarnation: int
    """The agent's incarnation."""
    time_s: float
    """The agent's monotonic time when it created the token."""


class AgentState(Enum):
    """Whether an agent accepts new tasks."""

    SERVING = "serving"
    """It accepts new tasks."""
    DRAINING = "draining"
    """It accepts no new tasks.

    An operator drains it, it or its target shuts down, or the target does not
    respond.
    """


class NotStartedReason(Enum):
    """Why an agent returns a task that it never started."""

    DATA_CENTRE_OUT = "data_centre_out"
    """Operators have taken the agent's data centre out of service."""
    DRAINING = "draining"
    """An operator drains the agent, or it or its target shuts down."""
    DEADLINE = "deadline"
    """The job's deadline passed while the task was queued."""
    CANCELLED = "cancelled"
    """The job was cancelled while the task was queued."""
    FENCED = "fenced"
    """The sending entry is not on the entry list."""
    QUEUE_FULL = "queue_full"
    """The agent's task queue is full."""
    NEVER_RECEIVED = "never_received"
    """The dispatch was lost; set by the entry after a stream broke."""
    TARGET_UNREACHABLE = "target_unreachable"
    """The target does not respond, and nothing of the task was sent to it."""
    RECORDS_FULL = "records_full"
    """The agent can't store another start record."""


class TaskSpec(MessagePart):
    """One task of a dispatch."""

    index: int
    """The position of the task in the job."""
    payload: bytes
    """The payload as JSON text."""


class JobDispatch(MessagePart):
    """Tasks of one job that an agent is to start."""

    submission_id: SubmissionId
    """The job's submission."""
    customer: CustomerName
    """The customer that submitted the job."""
    kind: str
    """The kind of all tasks of the job."""
    task_count: int
    """The number of tasks of the whole job."""
    digest: bytes
    """The digest of the submission's body, for recovery."""
    deadline_in_s: float
    """Time from sending to the job's deadline."""
    tasks: tuple[TaskSpec, ...]
    """The tasks to start."""


class TaskResult(MessagePart):
    """The outcome of a started task."""

    task: TaskRef
    """The task."""
    outcome: Outcome
    """DONE, FAILED or OUTCOME_UNKNOWN."""
    code: ResultCode
    """The cause of the outcome."""
    result: bytes
    """The result as JSON text; empty if there is none."""
    run_s: float
    """The run time of the task."""


class NotStarted(MessagePart):
    """Tasks that an agent did not and will not start."""

    submission_id: SubmissionId
    """The submission that the tasks belong to."""
    indexes: tuple[int, ...]
    """The tasks' positions in the job."""
    reason: NotStartedReason
    """Why the agent returns them."""


class AgentLoad(MessagePart):
    """The capacity and load of an agent."""

    slots: int
    """Tasks that the target can run concurrently."""
    busy: int
    """Tasks running or queued, from all entries."""
    receiver_tasks: int
    """The part of `busy` that the receiving entry dispatched."""


class RecoveredJob(MessagePart):
    """An agent's records of a submission, reported to recover its state."""

    submission_id: SubmissionId
    """The submission."""
    customer: CustomerName
    """The customer that submitted it."""
    kind: str
    """The kind of its tasks."""
    task_count: int
    """The number of tasks of the whole job; 0 if the agent has no record."""
    digest: bytes
    """The digest of the submission's body."""
    running: tuple[int, ...]
    """Positions of the tasks that are running."""
    results: tuple[TaskResult, ...]
    """Outcomes of the tasks that have ended."""
    returned: tuple[TaskSpec, ...]
    """Queued tasks that the agent returns without having started them."""


class Announce(Message):
    """The first message of an agent on a stream."""

    agent: AgentId
    """The agent."""
    data_centre: DataCentreName
    """The data centre of the agent and its target."""
    kinds: tuple[str, ...]
    """The kinds of tasks that the target serves; empty for all."""
    secret: str
    """The secret that authenticates the processes of the site."""


class FromAgent(Message):
    """Status and batched reports that an agent sends to an entry."""

    token: AgentToken
    """A token created when the message was sent."""
    load: AgentLoad
    """The current load."""
    state: AgentState
    """Whether the agent accepts new tasks."""
    wants_echo: bool = False
    """Whether queued tasks can't start without a more recent echo."""
    results: tuple[TaskResult, ...] = ()
    """Outcomes of tasks that have ended."""
    not_started: tuple[NotStarted, ...] = ()
    """Tasks that are returned without having been started."""
    recovered: tuple[RecoveredJob, ...] = ()
    """Responses to `ToAgent.recover`, one for each requested id."""


def merge_agent_messages(messages: list[FromAgent]) -> FromAgent:
    """Merge messages that are queued for the same stream into one.

    :param messages: the messages in order, at least one.
    :returns: all their batches, with the newest token, load and state.
    """
    newest = messages[-1]
    if len(messages) == 1:
        return newest
    return FromAgent(
        token=newest.token,
        load=newest.load,
        state=newest.state,
        wants_echo=any(message.wants_echo for message in messages),
        results=tuple(r for message in messages for r in message.results),
        not_started=tuple(
            n for message in messages for n in message.not_started
        ),
        recovered=tuple(r for message in messages for r in message.recovered),
    )


class ClosedDataCentres(MessagePart):
    """The data centres that operators have taken out of service."""

    version: int
    """The version of the configuration that lists them."""
    names: tuple[DataCentreName, ...]
    """The names of the data centres."""


class ToAgent(Message):
    """Batched commands and state that an entry sends to an agent."""

    entry: EntryId
    """The sending entry."""
    echo: AgentToken | None = None
    """The newest token held when the last lease confirmation began."""
    entry_list: EntryList | None = None
    """The entry list, sent when it has changed."""
    closed_data_centres: ClosedDataCentres | None = None
    """The data centres out of service, sent when they have changed."""
    wants_token: bool = False
    """Whether the agent is to send a message, with a new token, at once."""
    jobs: tuple[JobDispatch, ...] = ()
    """Tasks to start."""
    cancel: tuple[SubmissionId, ...] = ()
    """Submissions whose tasks are to be cancelled."""
    recover: tuple[SubmissionId, ...] = ()
    """Submissions whose records the agent is to report."""
    drain: bool | None = None
    """Whether the agent is to drain, by an operator; none if unchanged."""


class Hello(Message):
    """The first message of an entry on a stream to a peer."""

    member: Member
    """The sending entry."""
    secret: str
    """The secret that authenticates the processes of the site."""


class LeasePromiseRequest(Message, tag="LeaseAsk"):
    """Request to a peer to confirm the sender's lease.

    The peer confirms that it has accepted no entry list and no configuration
    that is newer than the sender's.
    """

    asked_at: float
    """The sender's monotonic time, returned in the response."""
    list_version: int
    """The sender's version of the entry list."""
    configuration_version: int
    """The sender's version of the configuration."""


class LeasePromise(Message):
    """Response to `LeasePromiseRequest`."""

    peer: EntryId
    """The responding peer."""
    asked_at: float
    """`asked_at` of the request."""
    granted: bool
    """Whether the peer confirms the lease."""
    list_version: int
    """The peer's version of the entry list."""
    entry_list: EntryList | None = None
    """The peer's entry list, if newer than the requester's."""
    configuration: Configuration | None = None
    """The peer's configuration, if newer than the requester's."""


class JoinRequest(Message):
    """Request to a member of the entry list to acknowledge a new entry."""

    member: EntryId
    """The member, in the incarnation that is on the entry list.

    A later incarnation acknowledges on its behalf.
    """
    joiner: Member
    """The entry that joins."""


class JoinAck(Message):
    """A member's acknowledgement of an entry that joins."""

    member: EntryId
    """The member that the request was for."""
    joiner: EntryId
    """The entry that joins."""


class TaskAnswer(MessagePart):
    """The outcome of one task in a `JobAnswer`."""

    index: int
    """The position of the task in the job."""
    outcome: Outcome
    """The outcome of the task."""
    code: ResultCode
    """The cause of the outcome."""
    result: bytes = b""
    """The result as JSON text, if the whole job is done."""


class JobAnswer(MessagePart):
    """The answer to a submission."""

    submission_id: SubmissionId
    """The submission."""
    outcome: Outcome
    """The outcome of the submission."""
    code: ResultCode
    """The cause of the outcome."""
    tasks: tuple[TaskAnswer, ...] = ()
    """One for each task, by index; empty if the entry has no such job."""
    retry_after_s: float = 0
    """Time after which to retry with the same id; 0 if the answer is final."""


class JobRequest(MessagePart):
    """A validated submission."""

    submission_id: SubmissionId
    """The id, chosen by the caller."""
    customer: CustomerName
    """The customer whose API key the caller used."""
    kind: str
    """The kind of all tasks."""
    deadline_in_s: float
    """Time from sending to the deadline of the answer."""
    digest: bytes
    """The digest of the body."""
    payloads: tuple[bytes, ...]
    """One JSON text for each task."""


class CallKind(Enum):
    """The operation that a caller requests on a submission."""

    SUBMIT = "submit"
    SHOW = "show"
    CANCEL = "cancel"


class ForwardRequest(Message, tag="Forward"):
    """A caller's request, forwarded to the entry that owns the submission."""

    request_id: int
    """The sender's id of the request, returned in the response."""
    call: CallKind
    """The requested operation."""
    submission_id: SubmissionId
    """The submission."""
    customer: CustomerName
    """The customer whose API key the caller used."""
    list_version: int
    """The sender's version of the entry list."""
    job: JobRequest | None = None
    """The job, for SUBMIT."""


class ForwardResponse(Message, tag="ForwardAnswer"):
    """Response to `ForwardRequest`."""

    request_id: int
    """`request_id` of the forwarded request."""
    submission_id: SubmissionId
    """The submission; must match the one that was forwarded."""
    answer: JobAnswer | None
    """The answer; none on an error or if the responder is not the owner."""
    error: ResultCode | None = None
    """Why the request itself was rejected."""


class HistoryQuery(Message, tag="PastAsk"):
    """Query to the former owner of a submission for its history."""

    submission_id: SubmissionId
    """The submission."""
    list_version: int
    """The entry list version with which ownership moved to the sender."""


class HistoryResponse(Message, tag="PastAnswer"):
    """Response to `HistoryQuery` from the former owner."""

    submission_id: SubmissionId
    """The submission."""
    list_version: int
    """`list_version` of the query."""
    known_since_s: float
    """Unix time from which the former owner's records are complete.

    A submission with a later id and no record never started there.
    """
    has_record: bool
    """Whether the former owner has a record of the submission."""


class AnsweredRecord(MessagePart):
    """Record of an answered submission, handed over to its next owner."""

    customer: CustomerName
    """The customer that submitted it."""
    digest: bytes
    """The digest of the submission's body."""
    answer: JobAnswer
    """The final answer."""


class QuotaLevel(MessagePart):
    """The fill level of the token bucket of a customer's quota."""

    customer: CustomerName
    """The customer."""
    level: float
    """The number of task starts available."""


class HandOver(Message):
    """Records that an entry sends to a successor before it shuts down."""

    departing: EntryId
    """The entry that shuts down."""
    list_version: int
    """The version of the entry list without that entry."""
    known_since_s: float
    """Unix time from which the sender's records are complete.

    A submission with a later id and no record never started.
    """
    records: tuple[AnsweredRecord, ...]
    """The records in this part whose next owner is the receiver."""
    quotas: tuple[QuotaLevel, ...]
    """Levels of the quotas whose next holder is the receiver."""
    part: int
    """The number of this part, from 0."""
    part_count: int
    """The total number of parts."""


class HandOverAck(Message):
    """Acknowledgement that the successor has received all parts."""

    departing: EntryId
    """The entry that shuts down."""
    list_version: int
    """`list_version` of the last part."""
    receiver: EntryId
    """The acknowledging successor."""


class QuotaRequest(Message, tag="QuotaAsk"):
    """Request for task starts to the entry that holds a customer's quota."""

    customer: CustomerName
    """The customer."""
    task_starts: int
    """The number of tasks to start."""
    request_id: int
    """The sender's id of the request, returned in the response."""


class QuotaGrant(Message):
    """Response to `QuotaRequest`."""

    request_id: int
    """`request_id` of the quota request."""
    task_starts: int
    """The number of task starts granted: all requested ones, or 0."""
    can_decide: bool
    """Whether the responder can decide; if not, the request is repeated.

    It can't if it does not hold the quota, or not yet its level.
    """


class QuotaLevelQuery(Message, tag="QuotaPastAsk"):
    """Query to the former holder of a customer's quota for its level."""

    customer: CustomerName
    """The customer."""
    list_version: int
    """The entry list version with which the quota moved to the sender."""


class QuotaLevelResponse(Message, tag="QuotaPastAnswer"):
    """Response to `QuotaLevelQuery` from the former holder."""

    customer: CustomerName
    """The customer."""
    list_version: int
    """`list_version` of the query."""
    level: float
    """The number of task starts available when the response was sent."""


PeerMessage = (
    Hello
    | LeasePromiseRequest
    | LeasePromise
    | JoinRequest
    | JoinAck
    | ForwardRequest
    | ForwardResponse
    | HistoryQuery
    | HistoryResponse
    | HandOver
    | HandOverAck
    | QuotaRequest
    | QuotaGrant
    | QuotaLevelQuery
    | QuotaLevelResponse
)
"""The messages that one entry sends to another."""

AgentUplink = Announce | FromAgent
"""The messages that an agent sends to an entry."""


class PeerEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """A message between entries with its receiver."""

    to: EntryId
    """The incarnation of the entry that the message is for."""
    message: PeerMessage
    """The message."""
