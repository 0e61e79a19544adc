"""Typed messages between entries and agents.

Times are in seconds unless the name says otherwise. Payloads and results
are JSON texts, passed through unread.
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


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of all messages."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The base of parts of messages."""


class AgentToken(Record):
    """An agent's statement of its own time, echoed by entries."""

    incarnation: int
    """The agent's incarnation."""
    time_s: float
    """The agent's monotonic time when it made the token."""


class AgentState(Enum):
    """Whether an agent takes new tasks."""

    SERVING = "serving"
    DRAINING = "draining"


class NotStartedReason(Enum):
    """Why an agent gives a task back that it never started."""

    DATA_CENTRE_OUT = "data_centre_out"
    DRAINING = "draining"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    FENCED = "fenced"
    QUEUE_FULL = "queue_full"
    NEVER_RECEIVED = "never_received"
    TARGET_UNREACHABLE = "target_unreachable"
    RECORDS_FULL = "records_full"


class TaskSpec(Record):
    """One task of a dispatch."""

    index: int
    """The position of the task in the job."""
    payload: bytes
    """The payload as JSON text."""


class JobDispatch(Record):
    """Tasks of one job for one agent."""

    submission_id: SubmissionId
    """The job's submission."""
    customer: CustomerName
    """The customer that submitted the job."""
    kind: str
    """The kind of all tasks of the job."""
    task_count: int
    """The number of tasks of the whole job."""
    digest: bytes
    """The digest of the job's body, for recovery."""
    deadline_in_s: float
    """The time left until the job's deadline, at sending."""
    tasks: tuple[TaskSpec, ...]
    """The tasks to start."""


class TaskResult(Record):
    """What became of a started task."""

    task: TaskRef
    """The task."""
    outcome: Outcome
    """DONE, FAILED or OUTCOME_UNKNOWN."""
    code: ResultCode
    """The numbered cause."""
    result: bytes
    """The result as JSON text; empty without one."""
    run_s: float
    """How long the task ran."""


class NotStarted(Record):
    """An agent's word that it did not and will not start tasks."""

    submission_id: SubmissionId
    """The tasks' submission."""
    indexes: tuple[int, ...]
    """The tasks' positions in the job."""
    reason: NotStartedReason
    """Why the agent gives them back."""


class AgentLoad(Record):
    """How busy an agent is."""

    slots: int
    """Tasks that the target runs side by side."""
    busy: int
    """Tasks running or queued, from all entries."""
    own: int
    """Those of them that came from the receiving entry."""


class RecoveredJob(Record):
    """All that an agent knows of a submission."""

    submission_id: SubmissionId
    """The submission."""
    customer: CustomerName
    """The customer that submitted it."""
    kind: str
    """The kind of its tasks."""
    task_count: int
    """The number of tasks of the whole job; 0 if unknown."""
    digest: bytes
    """The digest of the job's body."""
    running: tuple[int, ...]
    """Tasks started and not yet finished."""
    results: tuple[TaskResult, ...]
    """Tasks started and finished."""
    dropped: tuple[TaskSpec, ...]
    """Tasks that were queued, never started, and are now given back."""


class Announce(Message):
    """The first message of an agent on a stream."""

    agent: AgentId
    """The agent."""
    data_centre: DataCentreName
    """Where the agent and its target are."""
    kinds: tuple[str, ...]
    """The kinds that the target serves; empty for all."""
    secret: str
    """The secret that the processes of a site share."""


class FromAgent(Message):
    """What an agent tells an entry; lists are batches."""

    token: AgentToken
    """A fresh token."""
    load: AgentLoad
    """The agent's present load."""
    state: AgentState
    """Whether the agent takes new tasks."""
    wants_echo: bool = False
    """Tasks wait for a fresher echo."""
    results: tuple[TaskResult, ...] = ()
    """Tasks that finished."""
    not_started: tuple[NotStarted, ...] = ()
    """Tasks given back."""
    recovered: tuple[RecoveredJob, ...] = ()
    """Answers to `ToAgent.recover`, one for each id asked."""


def merge_reports(reports: list[FromAgent]) -> FromAgent:
    """Make one message of several that wait for the same stream.

    :param reports: the messages in order, at least one.
    :returns: all their batches, with the newest token, load and state.
    """
    newest = reports[-1]
    if len(reports) == 1:
        return newest
    return FromAgent(
        token=newest.token,
        load=newest.load,
        state=newest.state,
        wants_echo=any(report.wants_echo for report in reports),
        results=tuple(r for report in reports for r in report.results),
        not_started=tuple(n for report in reports for n in report.not_started),
        recovered=tuple(r for report in reports for r in report.recovered),
    )


class ClosedDataCentres(Record):
    """The data centres that operators have taken out."""

    version: int
    """The configuration version that this is read from."""
    names: tuple[DataCentreName, ...]
    """The closed data centres."""


class ToAgent(Message):
    """What an entry tells an agent; lists are batches."""

    entry: EntryId
    """The sender."""
    echo: AgentToken | None = None
    """The newest token held before the last lease confirmation."""
    entry_list: EntryList | None = None
    """The entry list, after it changed."""
    closed: ClosedDataCentres | None = None
    """The closed data centres, after they changed."""
    wants_token: bool = False
    """Ask for an answer at once."""
    jobs: tuple[JobDispatch, ...] = ()
    """Tasks to start."""
    cancel: tuple[SubmissionId, ...] = ()
    """Submissions to cancel."""
    recover: tuple[SubmissionId, ...] = ()
    """Submissions that the sender now owns or asks about."""
    drain: bool | None = None
    """An operator's word to take no new tasks, or to take them again."""


class Hello(Message):
    """The first message of an entry on a stream to a peer."""

    member: Member
    """The sender."""
    secret: str
    """The secret that the processes of a site share."""


class LeaseAsk(Message):
    """Ask a peer to promise that nothing newer was accepted."""

    asked_at: float
    """The asker's monotonic time, returned in the promise."""
    list_version: int
    """The asker's version of the entry list."""
    configuration_version: int
    """The asker's version of the configuration."""


class LeasePromise(Message):
    """A peer's answer to `LeaseAsk`."""

    of: EntryId
    """The peer that promises."""
    asked_at: float
    """The time from the ask."""
    granted: bool
    """Whether the asker may count this promise."""
    list_version: int
    """The peer's version of the entry list."""
    entry_list: EntryList | None = None
    """The peer's entry list, if newer than the asker's."""
    configuration: Configuration | None = None
    """The peer's configuration, if newer than the asker's."""


class JoinRequest(Message):
    """Ask a member to acknowledge a newcomer."""

    to: EntryId
    """The member that is asked, by its place on the list."""
    joiner: Member
    """The newcomer."""


class JoinAck(Message):
    """A member's acknowledgement of a newcomer."""

    of: EntryId
    """The member that was asked."""
    joiner: EntryId
    """The newcomer."""


class TaskAnswer(Record):
    """The part of an answer about one task."""

    index: int
    """The position of the task in the job."""
    outcome: Outcome
    """What became of the task."""
    code: ResultCode
    """The numbered cause."""
    result: bytes = b""
    """The result as JSON text, if the whole job is done."""


class JobAnswer(Record):
    """The answer to a submission."""

    submission_id: SubmissionId
    """The submission."""
    outcome: Outcome
    """What became of the submission."""
    code: ResultCode
    """The numbered cause."""
    tasks: tuple[TaskAnswer, ...] = ()
    """One for each task, by index, if the entry knows the job."""
    retry_after_s: float = 0
    """When to ask again with the same id; 0 if it is final."""


class JobRequest(Record):
    """A checked submission."""

    submission_id: SubmissionId
    """The caller's id."""
    customer: CustomerName
    """The customer whose key was used."""
    kind: str
    """The kind of all tasks."""
    deadline_in_s: float
    """The time left for the answer, at sending."""
    digest: bytes
    """The digest of the body."""
    payloads: tuple[bytes, ...]
    """One JSON text for each task."""


class CallKind(Enum):
    """What a forwarded call asks of the owner."""

    SUBMIT = "submit"
    SHOW = "show"
    CANCEL = "cancel"


class Forward(Message):
    """A caller's request, passed to the owner of its submission."""

    request: int
    """The sender's name for the request."""
    call: CallKind
    """What is asked."""
    submission_id: SubmissionId
    """The submission."""
    customer: CustomerName
    """The customer whose key was used."""
    list_version: int
    """The sender's version of the entry list."""
    job: JobRequest | None = None
    """The job, for SUBMIT."""


class ForwardAnswer(Message):
    """The answer to `Forward`."""

    request: int
    """The asker's name for the request."""
    submission_id: SubmissionId
    """The submission, checked by the asker."""
    answer: JobAnswer | None
    """The answer, or none if the receiver is not the owner."""
    error: ResultCode | None = None
    """A refusal of the request itself."""


class PastAsk(Message):
    """Ask a submission's prior owner what it knows."""

    submission_id: SubmissionId
    """The submission."""
    list_version: int
    """The version with which ownership went over to the asker."""


class PastAnswer(Message):
    """The prior owner's answer to `PastAsk`."""

    submission_id: SubmissionId
    """The submission."""
    list_version: int
    """The version from the ask."""
    known_since_s: float
    """Unix time; younger ids without a record never started there."""
    has_record: bool
    """Whether the prior owner has a record of it."""


class KeptRecord(Record):
    """The record of an answered submission, as it is handed over."""

    customer: CustomerName
    """The customer that submitted it."""
    digest: bytes
    """The digest of its body."""
    answer: JobAnswer
    """The final answer."""


class QuotaLevel(Record):
    """The level of a customer's quota."""

    customer: CustomerName
    """The customer."""
    level: float
    """Tasks that may be started at once."""


class HandOver(Message):
    """The records of a leaving entry for one of its successors."""

    of: EntryId
    """The leaving entry."""
    list_version: int
    """The version of the list without the leaving entry."""
    known_since_s: float
    """Unix time; younger ids without a record never started."""
    records: tuple[KeptRecord, ...]
    """Part of the records that go over to the receiver."""
    quotas: tuple[QuotaLevel, ...]
    """Levels of the quotas that go over to the receiver."""
    part: int
    """The number of this part, from 0."""
    parts: int
    """The number of all parts."""


class HandOverAck(Message):
    """The successor holds all records."""

    of: EntryId
    """The leaving entry."""
    list_version: int
    """The version from the last part."""
    receiver: EntryId
    """The successor."""


class QuotaAsk(Message):
    """Ask the holder of a customer's quota for task starts."""

    customer: CustomerName
    """The customer."""
    tokens: int
    """The number of tasks to be admitted."""
    request: int
    """The asker's name for the request."""


class QuotaGrant(Message):
    """The holder's answer to `QuotaAsk`."""

    request: int
    """The asker's name for the request."""
    tokens: int
    """The number granted: all that was asked, or 0."""
    known: bool
    """Whether the receiver holds the quota; if not, ask again."""


class QuotaPastAsk(Message):
    """Ask the prior holder of a customer's quota for its level."""

    customer: CustomerName
    """The customer."""
    list_version: int
    """The version with which the quota went over to the asker."""


class QuotaPastAnswer(Message):
    """The prior holder's answer to `QuotaPastAsk`."""

    customer: CustomerName
    """The customer."""
    list_version: int
    """The version from the ask."""
    level: float
    """Tasks that may be started at once, at the answer."""


PeerMessage = (
    Hello
    | LeaseAsk
    | LeasePromise
    | JoinRequest
    | JoinAck
    | Forward
    | ForwardAnswer
    | PastAsk
    | PastAnswer
    | HandOver
    | HandOverAck
    | QuotaAsk
    | QuotaGrant
    | QuotaPastAsk
    | QuotaPastAnswer
)
"""All that one entry sends another."""

AgentUplink = Announce | FromAgent
"""All that an agent sends an entry."""


class PeerEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """A message between entries on its way."""

    to: EntryId
    """The incarnation that the message is meant for."""
    message: PeerMessage
    """The message."""
