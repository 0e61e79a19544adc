"""What the store holds of kept jobs and of the entries that own them."""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import TypeVar
from zlib import crc32

import msgspec

from fulmarscale.entry.kept.rows import RowKey
from fulmarscale.ids import EntryId
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.site_state import Queue

RECORD_TABLE: Final = "jobs"
"""Holds a row for each kept job, in parts by shard."""

CANCEL_TABLE: Final = "cancels"
"""Holds a row for each job that another entry than its owner cancelled."""

MEMBER_TABLE: Final = "entries"
"""Holds a row for each entry that may own kept jobs."""

SHARDS: Final = 8
"""Parts of the job table.

One part handles 200 transactions a second (`partitionWritesS`), all of them
together more than the store's 800 to 1,500 (`writesPerS`).
"""


class KeptState(Enum):
    """How far a kept job is."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class NotedEnd(msgspec.Struct, frozen=True, array_like=True):
    """Where an end stands on the list of a target's life."""

    life: TargetLife
    """The life that listed it."""
    position: int
    """Its place on that life's list."""


class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """A kept job. Tasks are numbered in order, over all steps."""

    owner: EntryId
    """The entry that sees to it."""
    queue: Queue
    """The queue that it was handed in to."""
    spec: JobSpec
    """What to run; emptied when the job has ended."""
    tenure: int = 1
    """Rises with each change of the owner, and when an owner takes up anew."""
    state: KeptState = KeptState.OPEN
    """How far it is."""
    done: tuple[int, ...] = ()
    """Tasks that have ended well."""
    failures: tuple[tuple[int, int], ...] = ()
    """Tasks with failed runs, and how many."""
    ends: tuple[NotedEnd, ...] = ()
    """The ends that count, so that they can be told from others later."""

    def end_as(self, state: KeptState) -> JobRecord:
        """Give the record of the job once it has ended.

        What was to be run is not needed any more.
        """
        return msgspec.structs.replace(
            self, state=state, spec=JobSpec("", ()), done=(), failures=()
        )


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry that may own kept jobs. The row is renewed as its lease."""

    incarnation: int
    """The entry's life."""
    renewals: int = 0
    """Rises with each renewal, so that each is a change."""
    pending: dict[str, int] = {}
    """Jobs that it owns of which no task has started, by queue."""


class SeenMember(msgspec.Struct, frozen=True):
    """An entry's row as it was read."""

    name: str
    """The entry's name."""
    member: MemberRecord
    """What the row holds."""
    version: int
    """The store's counter at its last change."""


class SeenRecord(msgspec.Struct, frozen=True):
    """A job's row as it was read."""

    job_id: JobId
    """The job."""
    record: JobRecord
    """What the row holds."""
    version: int
    """The store's counter at its last change."""


Record = TypeVar("Record", JobRecord, MemberRecord)


def shard_of(job_id: JobId) -> str:
    """Name the part of the job table that holds a job."""
    return f"s{crc32(job_id.encode()) % SHARDS}"


def record_key(job_id: JobId) -> RowKey:
    """Name a job's row."""
    return RowKey(RECORD_TABLE, shard_of(job_id), job_id)


def cancel_key(job_id: JobId) -> RowKey:
    """Name the row that tells a job's owner that it was cancelled."""
    return RowKey(CANCEL_TABLE, shard_of(job_id), job_id)


def member_key(name: str) -> RowKey:
    """Name an entry's row."""
    return RowKey(MEMBER_TABLE, "", name)


def encode_row(value: JobRecord | MemberRecord) -> bytes:
    """Write a row's value."""
    return msgspec.msgpack.encode(value)


def decode_record(value: bytes) -> JobRecord | None:
    """Read a job's row; none if it can't be read."""
    return _decode(value, JobRecord)


def decode_member(value: bytes) -> MemberRecord | None:
    """Read an entry's row; none if it can't be read."""
    return _decode(value, MemberRecord)


def _decode(value: bytes, kind: type[Record]) -> Record | None:
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.MsgspecError:
        return None
