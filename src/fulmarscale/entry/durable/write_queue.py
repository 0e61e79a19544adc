"""The queue of record writes of durable jobs, batched into transactions.

The job table is split into shards, and one transaction stays within a shard.
Each shard has at most one transaction in flight; records that change in the
meantime go into the next one. The queue does no I/O and reads no clock: its
callers pass the time.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.durable.actions import CommitBatch
from fulmarscale.entry.durable.durable_job import DurableJob
from fulmarscale.entry.durable.durable_job import PendingAck
from fulmarscale.entry.durable.first_writes import FIRST_WRITE_LIMIT_S
from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import shard_of
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import RowWrite

if TYPE_CHECKING:
    from fulmarscale.entry.durable.rows import CommitResult
    from fulmarscale.runs.model import JobId

BATCH_DELAY_S: Final = 0.2
"""How long a completion may be delayed to share a transaction.

Agents hold the completion until it is stored, so the delay loses nothing.
Most jobs end within this time.
"""

RETRY_DELAY_S: Final = 0.2
"""Delay after a transaction that was refused or got no answer."""

MAX_TOO_LARGE_DELAY_S: Final = 30.0
"""Longest delay of a record that is too large for a call of its own.

It may get shorter, and the job may end, whose record is short.
"""

MAX_BATCH_RECORDS: Final = 50
"""Limit of records in one transaction.

The platform's limit is 100 entries; a record takes two.
"""

MAX_BATCH_BYTES: Final = 950_000
"""Limit of a transaction's length as sent; the platform's limit is 1 MB."""

INCONCLUSIVE_STATUSES: Final = (CommitStatus.UNKNOWN, CommitStatus.REFUSED)
"""Statuses that don't show whether an earlier attempt was applied."""


class BatchItem(msgspec.Struct, frozen=True):
    """One record of a transaction that is in flight."""

    job: DurableJob
    """The job."""
    record: DurableJobRecord | None
    """The record to write; none removes the row."""
    write: RowWrite
    """The change of the row."""
    pending_acks: tuple[PendingAck, ...]
    """Acknowledgements to send when the write is applied."""

    @property
    def expected_version(self) -> int:
        """The version that the row must have for the write to apply."""
        return self.write.expected_version


class ShardWrites:
    """The transaction in flight, or to be repeated, of one shard."""

    def __init__(self) -> None:
        self.attempt_number = 0
        """Identifies the last attempt that was sent."""
        self.batch: tuple[BatchItem, ...] = ()
        """The records of the transaction; empty if there is none."""
        self.is_in_flight = False
        self.may_still_apply = False
        """Whether an earlier attempt may have been or may be applied."""
        self.max_records = MAX_BATCH_RECORDS
        """Limit of records in the next transaction."""
        self.retry_at = float("-inf")
        """The earliest time of the next attempt."""


class WriteQueue:
    """The pending writes of all job records that this entry owns."""

    def __init__(self) -> None:
        self._shards: dict[str, ShardWrites] = {}
        self._dirty: dict[str, dict[JobId, DurableJob]] = {}
        """Jobs whose records have to be written, by shard."""
        self._last_attempt_number = 0

    def enqueue(self, job: DurableJob) -> None:
        """Add a job whose record has to be written."""
        shard = shard_of(job.job_id)
        self._dirty.setdefault(shard, {})[job.job_id] = job

    def discard(self, job: DurableJob) -> None:
        """Remove a job whose record is not to be written after all."""
        self._dirty.get(shard_of(job.job_id), {}).pop(job.job_id, None)

    def clear(self) -> None:
        """Discard all pending writes and ignore answers still to come."""
        self._shards.clear()
        self._dirty.clear()

    def flush(self, now: float) -> list[CommitBatch]:
        """Return the transactions that are due, marked as in flight."""
        commits = []
        for name in sorted(self._dirty):
            shard = self._shards.setdefault(name, ShardWrites())
            if shard.is_in_flight or now < shard.retry_at:
                continue
            if not shard.batch:
                shard.batch = self._take_batch(name, now)
            if shard.batch:
                commits.append(self._start_transaction(name, shard))
        return commits

    def drop_overdue(self, now: float) -> list[DurableJob]:
        """Drop the new jobs whose first write was repeated for too long.

        An attempt may still be applied.

        :param now: the entry's time.
        :returns: the jobs.
        """
        dropped: list[DurableJob] = []
        for shard in self._shards.values():
            if shard.is_in_flight or not shard.may_still_apply:
                continue
            overdue = [
                item.job
                for item in shard.batch
                if item.job.is_new
                and now - item.job.created_at > FIRST_WRITE_LIMIT_S
            ]
            if not overdue:
                continue
            dropped += overdue
            shard.batch = tuple(
                item for item in shard.batch if item.job not in overdue
            )
            shard.may_still_apply = bool(shard.batch)
        return dropped

    def resolve(
        self, name: str, attempt_number: int, answer: CommitResult, now: float
    ) -> tuple[BatchItem, ...]:
        """Process the store's answer to a transaction.

        :param name: the shard.
        :param attempt_number: the attempt that was answered.
        :param answer: the answer.
        :param now: the entry's time.
        :returns: the items whose outcome is known now; none if the same
            transaction is repeated, or the answer is not to the attempt
            in flight.
        """
        shard = self._shards.get(name)
        if (
            shard is None
            or shard.attempt_number != attempt_number
            or not shard.is_in_flight
        ):
            return ()
        shard.is_in_flight = False
        is_refused = answer.status is CommitStatus.REFUSED
        if answer.status is CommitStatus.UNKNOWN:
            shard.may_still_apply = True
        if shard.may_still_apply and answer.status in INCONCLUSIVE_STATUSES:
            # Repeats the same writes. Their expected versions let only one
            # of the attempts be applied.
            shard.retry_at = now + RETRY_DELAY_S
            return ()
        shard.may_still_apply = False
        batch, shard.batch = shard.batch, ()
        is_too_large = answer.status is CommitStatus.TOO_LARGE
        if is_refused:
            shard.retry_at = now + RETRY_DELAY_S
        if is_too_large and len(batch) == 1:
            delay_s = min(2 * batch[0].job.delay_s, MAX_TOO_LARGE_DELAY_S)
            batch[0].job.delay_write(max(RETRY_DELAY_S, delay_s), now)
        if is_too_large:
            shard.max_records = max(1, len(batch) // 2)
        elif answer.status is CommitStatus.APPLIED:
            shard.max_records = min(MAX_BATCH_RECORDS, 2 * shard.max_records)
        return batch

    def _take_batch(self, name: str, now: float) -> tuple[BatchItem, ...]:
        dirty = self._dirty[name]
        jobs = [job for job in dirty.values() if now >= job.write_after]
        is_due = any(
            job.is_urgent or now - job.dirty_at >= BATCH_DELAY_S
            for job in jobs
        )
        if not is_due:
            return ()
        batch: list[BatchItem] = []
        sent_bytes = 0
        max_records = self._shards[name].max_records
        for job in jobs[:max_records]:
            item = _make_item(job)
            sent_bytes += item.write.sent_bytes
            if batch and sent_bytes > MAX_BATCH_BYTES:
                break
            batch.append(item)
            del dirty[job.job_id]
            job.pending_acks = []
            job.is_dirty = False
            job.is_urgent = False
            job.may_be_stored = True
        return tuple(batch)

    def _start_transaction(self, name: str, shard: ShardWrites) -> CommitBatch:
        self._last_attempt_number += 1
        shard.attempt_number = self._last_attempt_number
        shard.is_in_flight = True
        writes = tuple(item.write for item in shard.batch)
        return CommitBatch(name, shard.attempt_number, writes)


def _make_item(job: DurableJob) -> BatchItem:
    """Return the write of a job's record."""
    record = None if job.is_expired else job.record
    value = None if record is None else encode_row(record)
    write = RowWrite(record_key(job.job_id), value, job.version)
    return BatchItem(job, record, write, tuple(job.pending_acks))
