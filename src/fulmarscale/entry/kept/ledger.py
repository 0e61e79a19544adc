"""Writes the records of kept jobs, many in one transaction.

One transaction a shard is under way at a time; what changes meanwhile goes
into the next. It holds no socket and no clock.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.kept.actions import CommitBatch
from fulmarscale.entry.kept.kept_job import HeldEnd
from fulmarscale.entry.kept.kept_job import KeptJob
from fulmarscale.entry.kept.record import encode_row
from fulmarscale.entry.kept.record import JobRecord
from fulmarscale.entry.kept.record import record_key
from fulmarscale.entry.kept.record import shard_of
from fulmarscale.entry.kept.rows import CommitStatus
from fulmarscale.entry.kept.rows import RowWrite

if TYPE_CHECKING:
    from fulmarscale.entry.kept.rows import CommitAnswer
    from fulmarscale.runs.model import JobId

MERGE_S: Final = 0.2
"""How long the end of a run may wait for others of its job.

Agents hold it meanwhile, so nothing is lost; most jobs end within it.
"""

RETRY_S: Final = 0.2
"""Pause after a transaction that was not applied."""

LARGEST_BATCH: Final = 50
"""Records in one transaction; the platform takes 100 entries and 1 MB."""


UNSETTLED: Final = (CommitStatus.UNKNOWN, CommitStatus.REFUSED)
"""Answers that don't tell what became of earlier attempts."""


class BatchItem(msgspec.Struct, frozen=True):
    """One record of a transaction that is under way."""

    job: KeptJob
    """The job."""
    record: JobRecord | None
    """What is written; none removes the row."""
    expected_version: int
    """The version that the row must have."""
    held: tuple[HeldEnd, ...]
    """Ends that the record covers."""


class Shard:
    """The writes of one part of the table."""

    def __init__(self) -> None:
        self.number = 0
        """Names the attempt that is under way."""
        self.batch: tuple[BatchItem, ...] = ()
        self.is_under_way = False
        self.is_doubtful = False
        """Whether an earlier attempt may still take effect."""
        self.retry_at = float("-inf")


class Ledger:
    """All records that this entry writes."""

    def __init__(self) -> None:
        self._shards: dict[str, Shard] = {}
        self._dirty: dict[str, dict[JobId, KeptJob]] = {}
        self._number = 0

    def add(self, job: KeptJob) -> None:
        """Have a record written."""
        shard = shard_of(job.job_id)
        self._dirty.setdefault(shard, {})[job.job_id] = job

    def clear(self) -> None:
        """Write nothing of what was to be written, and await no answer."""
        self._shards.clear()
        self._dirty.clear()

    def flush(self, now: float) -> list[CommitBatch]:
        """Begin the transactions that are due."""
        commits = []
        for name in sorted(self._dirty):
            shard = self._shards.setdefault(name, Shard())
            if shard.is_under_way or now < shard.retry_at:
                continue
            if not shard.batch:
                shard.batch = self._collect(name, now)
            if shard.batch:
                commits.append(self._send(name, shard))
        return commits

    def settle(
        self, name: str, number: int, answer: CommitAnswer, now: float
    ) -> tuple[BatchItem, ...]:
        """Take in the answer to a transaction.

        :returns: the items that it settles, for better or worse; none if
            the same transaction is to be repeated.
        """
        shard = self._shards.get(name)
        if shard is None or shard.number != number or not shard.is_under_way:
            return ()
        shard.is_under_way = False
        is_refused = answer.status is CommitStatus.REFUSED
        if answer.status is CommitStatus.UNKNOWN:
            shard.is_doubtful = True
        if shard.is_doubtful and answer.status in UNSETTLED:
            # The same writes once more: conditions let them take effect
            # once, whichever attempt comes first.
            shard.retry_at = now + RETRY_S
            return ()
        if is_refused:
            shard.retry_at = now + RETRY_S
        shard.is_doubtful = False
        batch, shard.batch = shard.batch, ()
        return batch

    def _collect(self, name: str, now: float) -> tuple[BatchItem, ...]:
        dirty = self._dirty[name]
        is_due = any(
            job.is_urgent or now - job.dirty_at >= MERGE_S
            for job in dirty.values()
        )
        if not is_due:
            return ()
        chosen = list(dirty.values())[:LARGEST_BATCH]
        batch = []
        for job in chosen:
            del dirty[job.job_id]
            record = None if job.is_expired else job.record
            batch.append(BatchItem(job, record, job.version, tuple(job.held)))
            job.held = []
            job.is_dirty = False
            job.is_urgent = False
        return tuple(batch)

    def _send(self, name: str, shard: Shard) -> CommitBatch:
        self._number += 1
        shard.number = self._number
        shard.is_under_way = True
        writes = tuple(
            RowWrite(
                record_key(item.job.job_id),
                None if item.record is None else encode_row(item.record),
                item.expected_version,
            )
            for item in shard.batch
        )
        return CommitBatch(name, shard.number, writes)
