"""Cancels jobs that this entry doesn't own, by writes to the store."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.held_cancellations import HeldCancellations
from fulmarscale.entry.durable.manager import STATUS_RETENTION_S
from fulmarscale.entry.durable.record import cancel_key
from fulmarscale.entry.durable.record import CANCEL_TABLE
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import JobRow
from fulmarscale.entry.durable.record import make_tombstone
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.row_decoding import decode_job_record
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.entry.durable.write_queue import INCONCLUSIVE_STATUSES
from fulmarscale.entry.durable.write_queue import MAX_BATCH_RECORDS
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.model import JobId

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.entry.durable.rows import CommitResult
    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.ids import EntryId
    from fulmarscale.logs import EventLog

MAX_CANCEL_ATTEMPTS: Final = 5
"""Conflicts with the owner's writes after which a cancellation fails.

An owner writes a job's row only a few times in all.
"""

HELD_RETRY_S: Final = 0.2
"""Pause after a held cancellation that could not be stored."""


class StoredCancellations:
    """The cancellations by one entry of jobs that others own, or nobody.

    :param entry: the entry.
    :param rows: the store.
    :param log: the log.
    :param is_active: whether the entry knows that durable jobs exist.
    :param activate: lets the entry know it, as the store shows one.
    :param adopt: lets the entry own the row of a job that it has cancelled
        before any entry had stored it.
    """

    def __init__(
        self,
        entry: EntryId,
        rows: RowTable,
        log: EventLog,
        *,
        is_active: Callable[[], bool],
        activate: Callable[[], None],
        adopt: Callable[[JobRow], None],
    ) -> None:
        self._entry = entry
        self._rows = rows
        self._log = log
        self._is_active = is_active
        self._activate = activate
        self._adopt = adopt
        self._held = HeldCancellations(STATUS_RETENTION_S)
        self._removing: set[str] = set()
        """Jobs whose rows in the table of cancellations are being removed."""

    def holds(self, job_id: JobId) -> bool:
        """Return whether a job is cancelled, which is not stored yet."""
        return self._held.holds(job_id, boottime_s())

    async def cancel(self, job_id: JobId) -> bool:
        """Cancel a job that another entry or no entry owns.

        The owner may write the same row concurrently, so each attempt reads
        the row again.

        :returns: whether the job exists.
        :raises FulmarError: STORE_UNAVAILABLE; it may have been cancelled.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            row = await self._rows.read_row(record_key(job_id))
            if row is None:
                if await self._cancel_unknown(job_id):
                    return False
                continue
            record = decode_job_record(row, self._log)
            if record is None:
                return False
            self._activate()
            if record.state is not DurableJobState.OPEN:
                return not record.is_tombstone
            if await self._write_cancellation(row, record):
                self._log.write(
                    Event.JOB_REVOKED, job=job_id, owner=record.owner.name
                )
                return True
        detail = f"cancellation failed after {MAX_CANCEL_ATTEMPTS} conflicts"
        raise FulmarError(ResultCode.STORE_UNAVAILABLE, detail)

    async def store_held(self) -> None:
        """Store the cancellations from before durable jobs were known."""
        if len(self._held):
            self._log.write(Event.CANCELLATIONS_HELD, count=len(self._held))
        while (job_id := self._held.latest(boottime_s())) is not None:
            try:
                if not await self._write_tombstone(job_id):
                    await self.cancel(job_id)
            except FulmarError:
                await asyncio.sleep(HELD_RETRY_S)
                continue
            self._held.remove(job_id)

    def claim_notices(self, rows: list[Row]) -> list[list[Row]]:
        """Return batches of rows that notify this entry, to be removed.

        :param rows: rows of the table of cancellations that it has applied.
        """
        by_part: dict[str, list[Row]] = {}
        for row in rows:
            if row.row_key.key not in self._removing:
                self._removing.add(row.row_key.key)
                by_part.setdefault(row.row_key.part, []).append(row)
        return list(by_part.values())

    async def remove_notices(self, rows: list[Row]) -> None:
        """Remove rows of the table of cancellations that are applied.

        If that fails the rows stay, which only take up space.

        :param rows: rows of one part.
        """
        for first in range(0, len(rows), MAX_BATCH_RECORDS):
            batch = rows[first : first + MAX_BATCH_RECORDS]
            answer = await self._rows.commit(
                tuple(
                    RowWrite(row.row_key, None, row.version) for row in batch
                )
            )
            for row in batch:
                self._removing.discard(row.row_key.key)
            if answer.status is not CommitStatus.APPLIED:
                self._log.write(
                    Event.COMMIT_FAILED,
                    table=CANCEL_TABLE,
                    records=len(batch),
                    status=answer.status.value,
                )

    async def _cancel_unknown(self, job_id: JobId) -> bool:
        """Cancel a job that the store doesn't have.

        While no durable jobs are known to exist, nothing is written yet.

        :returns: false if the job has been stored in the meantime.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        if self._is_active():
            return await self._write_tombstone(job_id)
        self._held.add(job_id, boottime_s())
        return True

    async def _write_tombstone(self, job_id: JobId) -> bool:
        """Keep a job from being stored whose first write may be under way.

        :returns: false if the job has been stored in the meantime.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        record = make_tombstone(self._entry)
        write = RowWrite(record_key(job_id), encode_row(record), 0)
        answer = await self._rows.commit((write,))
        if answer.status is CommitStatus.APPLIED:
            self._adopt(JobRow(job_id, record, answer.version))
        elif answer.status is not CommitStatus.CONFLICT:
            raise _unanswered(answer)
        return answer.status is CommitStatus.APPLIED

    async def _write_cancellation(
        self, row: Row, record: DurableJobRecord
    ) -> bool:
        """Store the cancellation of a job.

        A second row notifies the owner, which follows the table of
        cancellations.

        :returns: false if the job's row has changed in the meantime.
        :raises FulmarError: STORE_UNAVAILABLE; it may have been cancelled.
        """
        cancelled = record.ended_as(DurableJobState.CANCELLED)
        writes = (
            RowWrite(row.row_key, encode_row(cancelled), row.version),
            RowWrite(cancel_key(JobId(row.row_key.key)), b"", 0),
        )
        answer = await self._rows.commit(writes)
        if answer.status in INCONCLUSIVE_STATUSES:
            raise _unanswered(answer)
        return answer.status is CommitStatus.APPLIED


def _unanswered(answer: CommitResult) -> FulmarError:
    """Return the error of a cancellation that may not be stored."""
    detail = f"store answered the cancellation: {answer.status.value}"
    return FulmarError(ResultCode.STORE_UNAVAILABLE, detail)
