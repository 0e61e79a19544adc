"""What the keeper asks its driver to do."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from fulmarscale.entry.kept.record import JobRecord
from fulmarscale.entry.kept.rows import RowWrite
from fulmarscale.events import Event
from fulmarscale.runs.messages import EndReceipt
from fulmarscale.runs.model import JobId


class KeepOutcome(Enum):
    """What became of what callers wait for."""

    STORED = "stored"
    """It is stored."""
    REFUSED = "refused"
    """Nothing was stored, and nothing will be."""
    UNKNOWN = "unknown"
    """It may be stored, or may still be."""


class KeeperAction(msgspec.Struct, frozen=True):
    """The base of all actions."""


class CommitBatch(KeeperAction):
    """Apply a transaction on job records."""

    shard: str
    """The part of the table."""
    number: int
    """Names the attempt."""
    writes: tuple[RowWrite, ...]
    """All of it is applied or nothing."""


class CommitMember(KeeperAction):
    """Write or remove an entry's row."""

    name: str
    """The entry's name."""
    write: RowWrite
    """The change."""


class ScanRecords(KeeperAction):
    """Read all job records, and then all entries' rows."""


class BeginJob(KeeperAction):
    """See to it that a stored job is run."""

    job_id: JobId
    """The job."""
    record: JobRecord
    """What is stored of it."""


class ChangeTenure(KeeperAction):
    """Go on with a job under a new tenure, which is stored."""

    job_id: JobId
    """The job."""
    tenure: int
    """Goes with all orders from now on."""


class DropJob(KeeperAction):
    """Stop what runs of a job, and run nothing more."""

    job_id: JobId
    """The job."""


class SettleEnds(KeeperAction):
    """Tell an agent what became of ends that it holds."""

    agent: str
    """The agent's name."""
    receipts: tuple[EndReceipt, ...]
    """One for each end."""


class AnswerCallers(KeeperAction):
    """Answer all who wait for a job to be stored, or for its end."""

    job_id: JobId
    """The job."""
    outcome: KeepOutcome
    """What they are told."""
    is_end: bool
    """Whether those are meant who wait for its end or cancelled it."""


class LogDecision(KeeperAction):
    """Write a log line."""

    event: Event
    """What was decided."""
    fields: dict[str, Any]
    """The inputs of the decision."""
