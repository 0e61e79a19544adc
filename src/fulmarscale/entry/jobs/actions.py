"""What the dispatcher asks its driver to do."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from fulmarscale.events import Event
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.messages import KeptEnd
from fulmarscale.runs.model import JobId


class JobOutcome(Enum):
    """What a caller is told about a job."""

    COMPLETED = "completed"
    """All tasks have ended well."""
    FAILED = "failed"
    """A task has failed as often as the queue allows."""
    STORED = "stored"
    """It is kept and will be run; only for kept jobs."""
    NOT_RUN = "not_run"
    """Nothing of it has run, and nothing will by this attempt."""
    CANCELLED = "cancelled"
    """A caller wished that it ends; parts of it may have run."""
    UNFINISHED = "unfinished"
    """Parts of it may have run; the attempt is given up."""


class JobState(Enum):
    """How far a job is that has no answer yet."""

    QUEUED = "queued"
    """None of its tasks has started."""
    RUNNING = "running"
    """A task may have started."""


class DispatchAction(msgspec.Struct, frozen=True):
    """The base of all actions."""


class AnswerJob(DispatchAction):
    """Answer all who wait for a job."""

    job_id: JobId
    """The job."""
    outcome: JobOutcome
    """What became of it."""
    retry_after_s: float = 0.0
    """When another attempt is likely to be taken."""
    took_s: float = 0.0
    """Time since the job's arrival."""


class CloseKeptJob(DispatchAction):
    """Store how a kept job has ended."""

    job_id: JobId
    """The job."""
    outcome: JobOutcome
    """COMPLETED or FAILED."""


class RenewTenure(DispatchAction):
    """Store that tasks of a kept job may be ordered once more.

    A run was given up whose end is unknown; it must count for no later
    owner.
    """

    job_id: JobId
    """The job."""


class TakeKeptEnd(DispatchAction):
    """Store an end that an agent holds, or release it."""

    agent: str
    """The agent's name."""
    end: KeptEnd
    """The end."""
    is_counted: bool
    """Whether its task was waiting for just this end."""


class JoinAgent(DispatchAction):
    """Keep a stream to an agent from now on."""

    name: str
    """The agent's name."""
    address: str
    """IP:port on which it serves entries."""


class LeaveAgent(DispatchAction):
    """Keep no stream to an agent any more."""

    name: str
    """The agent's name."""


class SendOrders(DispatchAction):
    """Send a message to an agent."""

    session: int
    """The stream."""
    message: EntryMessage
    """The message."""


class LogDecision(DispatchAction):
    """Write a log line."""

    event: Event
    """What was decided."""
    fields: dict[str, Any]
    """The inputs of the decision."""
