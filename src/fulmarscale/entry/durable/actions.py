"""Actions that the decision code for durable jobs returns to its driver.

The decision code does no I/O: `DurableJobDriver` performs these actions, and a
simulation in tests performs them on a simulated store.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.events import Event
from fulmarscale.runs.messages import CompletionAck
from fulmarscale.runs.model import JobId


class StorageOutcome(Enum):
    """The outcome of a write to the store, as reported to waiting callers."""

    STORED = "stored"
    """The store has applied the write."""
    REFUSED = "refused"
    """The write was not applied and will not be."""
    UNKNOWN = "unknown"
    """The write may have been applied, or may still be."""


class ManagerAction(msgspec.Struct, frozen=True):
    """The base of all actions."""


class CommitBatch(ManagerAction):
    """Apply a transaction on job records."""

    shard: str
    """The shard of the job table."""
    attempt_number: int
    """Identifies the attempt, so that late answers are ignored."""
    writes: tuple[RowWrite, ...]
    """The changes; the store applies all of them or none."""


class CommitMember(ManagerAction):
    """Write or remove the row that is an entry's lease."""

    name: str
    """The entry's name."""
    write: RowWrite
    """The change of the row."""


class ScanRecords(ManagerAction):
    """Read all job records, and after them the lease rows of all entries."""


class StartJob(ManagerAction):
    """Run a job that is stored."""

    job_id: JobId
    """The job."""
    record: DurableJobRecord
    """The stored record."""


class ChangeOwnerEpoch(ManagerAction):
    """Continue a job in a new owner epoch, which is stored.

    The epoch is a fencing number: if the owner changes, the new owner counts
    no runs of epochs before this one.
    """

    job_id: JobId
    """The job."""
    owner_epoch: int
    """The owner epoch, sent with all start requests from now on."""


class StopJob(ManagerAction):
    """Stop all runs of a job and start no more."""

    job_id: JobId
    """The job."""


class AcknowledgeCompletions(ManagerAction):
    """Acknowledge completions that an agent holds.

    An agent holds each completion until it is acknowledged as stored, or as
    discarded.
    """

    agent: str
    """The agent's name."""
    acks: tuple[CompletionAck, ...]
    """One acknowledgement for each completion."""


class ReviewCompletions(ManagerAction):
    """Process the completions again that agents hold for jobs not open here.

    They were received before this entry owned the jobs.
    """


class AnswerCallers(ManagerAction):
    """Answer all callers that wait for a job to be stored, or for its end."""

    job_id: JobId
    """The job."""
    outcome: StorageOutcome
    """The outcome that is reported to the callers."""
    is_for_end_waiters: bool
    """Whether to answer callers that wait for the end or cancelled the job.

    Otherwise the callers that submitted it are answered.
    """


class LogDurableDecision(ManagerAction):
    """Write a log line about a decision of the durable job manager."""

    event: Event
    """The kind of decision."""
    fields: dict[str, Any]
    """The fields of the log line: the inputs of the decision."""
