"""Actions that the dispatcher returns and its process carries out."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.crashes import CrashCounts
from fulmarscale.runs.crashes import NO_CRASHES
from fulmarscale.runs.messages import DurableCompletion
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.model import JobId


class JobOutcome(Enum):
    """The outcome of a submitted job, as reported to its callers."""

    COMPLETED = "completed"
    """All tasks have succeeded."""
    FAILED = "failed"
    """A task has failed as often as the queue allows, or crashes targets."""
    STORED = "stored"
    """The job is stored and will be run; only for durable jobs."""
    NOT_RUN = "not_run"
    """No task has run, and this submission will not cause any to run."""
    CANCELLED = "cancelled"
    """A caller cancelled the job; some tasks may have run."""
    UNFINISHED = "unfinished"
    """The outcome is unknown; some tasks may have run.

    The job was abandoned, or a durable job may or may not be stored.
    """


class JobState(Enum):
    """The state of an open job."""

    QUEUED = "queued"
    """No task counts as started.

    This includes a job that was taken over while no completion of it is
    stored, even if its former owner started runs.
    """
    RUNNING = "running"
    """A task may have started."""


class DispatchAction(msgspec.Struct, frozen=True):
    """The base of all actions."""


class AnswerJob(DispatchAction):
    """Answer all callers that wait for a job."""

    job_id: JobId
    """The job."""
    outcome: JobOutcome
    """Its outcome."""
    retry_after_s: float = 0.0
    """The delay after which a retry is likely to be accepted."""
    took_s: float = 0.0
    """Time from the job's arrival to its answer."""
    code: ResultCode = ResultCode.OK
    """Why the job has failed."""


class CloseDurableJob(DispatchAction):
    """Store the outcome of a durable job and close it."""

    job_id: JobId
    """The job."""
    outcome: JobOutcome
    """COMPLETED or FAILED."""
    code: ResultCode = ResultCode.OK
    """Why the job has failed."""


class AdvanceOwnerEpoch(DispatchAction):
    """Store a new owner epoch of a durable job.

    A run was abandoned whose outcome is unknown. The new epoch fences it: no
    later owner may count it. Or a target crashed under one of its tasks.
    """

    job_id: JobId
    """The job."""
    crashes: CrashCounts = NO_CRASHES
    """The crashes under its tasks."""


class StoreCompletion(DispatchAction):
    """Store or acknowledge a completion that an agent keeps."""

    agent: str
    """The agent's name."""
    completion: DurableCompletion
    """The completion."""
    is_counted: bool
    """Whether it counts as the outcome of its task."""


class OpenAgentStream(DispatchAction):
    """Open a stream to an agent and keep it open."""

    name: str
    """The agent's name."""
    address: str
    """IP:port on which it serves entries."""


class CloseAgentStream(DispatchAction):
    """Close the stream to an agent."""

    name: str
    """The agent's name."""


class SendEntryMessage(DispatchAction):
    """Send a message to an agent."""

    session: int
    """The number of the stream."""
    message: EntryMessage
    """The message."""


class LogDispatchDecision(DispatchAction):
    """Write a log line about a decision of the dispatcher."""

    event: Event
    """The event of the line."""
    fields: dict[str, Any]
    """The inputs of the decision, by the names of the line's fields."""
