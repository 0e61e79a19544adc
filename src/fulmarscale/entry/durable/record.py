"""The rows that the store holds for durable jobs and the owning entries.

Values are encoded in MessagePack as arrays: the order of a struct's fields is
the stored format.
"""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import Self
from typing import TYPE_CHECKING
from typing import TypeVar
from zlib import crc32

import msgspec

from fulmarscale.decoding import decode_msgpack
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.errors import ResultCode
from fulmarscale.ids import EntryId
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.site_config import Queue

if TYPE_CHECKING:
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.messages import DurableCompletion

RECORD_TABLE: Final = "jobs"
"""The table of one row for each durable job, with one part for each shard."""

CANCEL_TABLE: Final = "cancels"
"""The table of one row for each job cancelled by an entry not its owner."""

MEMBER_TABLE: Final = "entries"
"""The table of one row for each entry that may own durable jobs."""

SHARDS: Final = 8
"""Number of parts of the job table.

One part handles 200 transactions a second (`partitionWritesS`). Eight parts
together handle more than the store, whose limit is 800 to 1,500
(`writesPerS`).
"""

MAX_ROW_BYTES: Final = 65_536
"""The longest value of a row on the platform (`rowBytes`)."""

COMPLETION_BYTES: Final = 40
"""Most bytes by which a completion makes a job's record longer.

The target's id takes about 12 bytes; its start, the position and the task's
number are integers of up to 9 bytes.
"""


MAX_CRASH_INCARNATIONS: Final = 100
"""Most crashes that a record names; agents remember only the newest ones."""


class DurableJobState(Enum):
    """The state of a durable job."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RecordedCompletion(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a run's completion by its place on its target's list.

    Each incarnation of a target numbers the completions of its runs.
    """

    incarnation: TargetIncarnation
    """The incarnation of the target that listed the completion."""
    position: int
    """The completion's place on that incarnation's list."""

    @classmethod
    def of(cls, source: DurableCompletion | CompletionAck) -> Self:
        """Return the identifier of a completion, or of an acknowledged one."""
        return cls(source.incarnation, source.position)


class DurableJobRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored state of a durable job.

    Tasks are numbered from 0 over all steps.
    """

    owner: EntryId
    """The entry that runs the job."""
    queue: Queue
    """The queue to which the job was submitted."""
    spec: JobSpec
    """The tasks to run; emptied when the job has ended."""
    owner_epoch: int = 1
    """The owner epoch, a fencing number.

    It rises with each change of the owner, and when an owner starts the
    job's tasks again. A new owner counts only runs of the epoch before its
    own, and its own runs.
    """
    state: DurableJobState = DurableJobState.OPEN
    """The state of the job."""
    done: tuple[int, ...] = ()
    """Numbers of the tasks that have succeeded; emptied at the job's end."""
    failures: tuple[tuple[int, int], ...] = ()
    """Numbers of the tasks with failed runs, each with its count of them.

    Emptied when the job has ended.
    """
    completions: tuple[RecordedCompletion, ...] = ()
    """The completions that are counted in `done` and `failures`.

    By them, a later owner detects which of the completions that agents still
    hold are stored already. They are kept when the job has ended.
    """
    crashes: tuple[tuple[int, int], ...] = ()
    """Numbers of the tasks under which targets crashed, each with a count.

    Only of a job that is suspected of them. Emptied when the job has ended.
    """
    code: int = ResultCode.OK
    """Why the job has failed: the value of a `ResultCode`."""
    crash_incarnations: tuple[TargetIncarnation, ...] = ()
    """The incarnations of targets whose crashes `crashes` counts.

    By them, a later owner detects which crashes that agents report are
    counted already. Emptied when the job has ended.
    """
    certain_crashes: tuple[tuple[int, int], ...] = ()
    """The counts of `crashes`, of those that certainly were under the task.

    Empty in records of the earlier format. Emptied when the job has ended.
    """

    @property
    def is_tombstone(self) -> bool:
        """Whether the job was cancelled before any entry had stored it.

        No such job is known; the row keeps a late first write from being
        applied.
        """
        return self.owner_epoch == 0

    def taken_over_by(self, owner: EntryId) -> DurableJobRecord:
        """Return the record of the next owner."""
        return msgspec.structs.replace(
            self, owner=owner, owner_epoch=self.owner_epoch + 1
        )

    def ended_as(
        self, state: DurableJobState, code: ResultCode = ResultCode.OK
    ) -> DurableJobRecord:
        """Return the record of the ended job.

        It keeps `completions`, but nothing else of the tasks.

        :param state: the state in which the job ended.
        :param code: why it has failed.
        """
        return msgspec.structs.replace(
            self,
            state=state,
            spec=JobSpec("", ()),
            done=(),
            failures=(),
            crashes=(),
            code=code.value,
            crash_incarnations=(),
            certain_crashes=(),
        )


def make_tombstone(owner: EntryId) -> DurableJobRecord:
    """Return the record of a job that is cancelled before it is stored.

    :param owner: the entry that removes the row after a while.
    """
    queue = Queue(QueueName(""), "", "", ServiceName(""))
    state = DurableJobState.CANCELLED
    return DurableJobRecord(owner, queue, JobSpec("", ()), 0, state)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry that may own durable jobs; its row is its lease."""

    incarnation: int
    """The entry's incarnation."""
    renewals: int = 0
    """Rises with each renewal, so that every renewal changes the row."""
    pending: dict[str, int] = {}
    """Number of the entry's jobs of which no task has started, by queue."""


class MemberRow(msgspec.Struct, frozen=True):
    """An entry's row, decoded."""

    name: str
    """The entry's name."""
    member: MemberRecord
    """The decoded value of the row."""
    version: int
    """The row's version: the store's counter at its last change."""


class JobRow(msgspec.Struct, frozen=True):
    """A job's row, decoded."""

    job_id: JobId
    """The job."""
    record: DurableJobRecord
    """The decoded value of the row."""
    version: int
    """The row's version: the store's counter at its last change."""


Record = TypeVar("Record", DurableJobRecord, MemberRecord)


def shard_of(job_id: JobId) -> str:
    """Return the name of the job table's part that holds a job."""
    return f"s{crc32(job_id.encode()) % SHARDS}"


def record_key(job_id: JobId) -> RowKey:
    """Return the key of a job's row."""
    return RowKey(RECORD_TABLE, shard_of(job_id), job_id)


def cancel_key(job_id: JobId) -> RowKey:
    """Return the key of the row that notifies a job's owner to cancel it."""
    return RowKey(CANCEL_TABLE, shard_of(job_id), job_id)


def member_key(name: str) -> RowKey:
    """Return the key of an entry's lease row."""
    return RowKey(MEMBER_TABLE, "", name)


def encode_row(value: DurableJobRecord | MemberRecord) -> bytes:
    """Encode the value of a row."""
    return msgspec.msgpack.encode(value)


def fits_row(record: DurableJobRecord) -> bool:
    """Return whether a new job's record fits into a row until its end.

    It grows with each completion. Runs that fail are not counted.
    """
    tasks = sum(step.count for step in record.spec.steps)
    size = len(encode_row(record)) + COMPLETION_BYTES * tasks
    return size <= MAX_ROW_BYTES


def decode_record(value: bytes) -> DurableJobRecord | None:
    """Decode the value of a job's row; none if it is malformed."""
    return _decode(value, DurableJobRecord)


def decode_member(value: bytes) -> MemberRecord | None:
    """Decode the value of an entry's row; none if it is malformed."""
    return _decode(value, MemberRecord)


def _decode(value: bytes, kind: type[Record]) -> Record | None:
    try:
        return decode_msgpack(value, kind)
    except msgspec.MsgspecError:
        return None
