"""Decodes the rows of durable jobs, and leaves out malformed ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.entry.durable.record import decode_member
from fulmarscale.entry.durable.record import decode_record
from fulmarscale.entry.durable.record import JobRow
from fulmarscale.entry.durable.record import MemberRow
from fulmarscale.events import Event
from fulmarscale.runs.model import JobId

if TYPE_CHECKING:
    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.logs import EventLog


def decode_job_record(row: Row, log: EventLog) -> DurableJobRecord | None:
    """Decode a job's row; log it if it is malformed."""
    record = decode_record(row.value)
    if record is None:
        log.write(Event.ROW_UNREADABLE, detail=row.row_key.key)
    return record


def decode_member_rows(rows: tuple[Row, ...]) -> tuple[MemberRow, ...]:
    """Decode entries' lease rows, leaving out malformed ones."""
    decoded = []
    for row in rows:
        member = decode_member(row.value)
        if member is not None:
            decoded.append(MemberRow(row.row_key.key, member, row.version))
    return tuple(decoded)


def decode_job_rows(rows: tuple[Row, ...]) -> list[JobRow]:
    """Decode jobs' rows, leaving out malformed ones."""
    decoded = []
    for row in rows:
        record = decode_record(row.value)
        if record is not None:
            job_id = JobId(row.row_key.key)
            decoded.append(JobRow(job_id, record, row.version))
    return decoded
