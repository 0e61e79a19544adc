"""Row store in memory, for drivers that run in real time."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import Row
from fulmarscale.entry.durable.rows import RowTable
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode

if TYPE_CHECKING:
    from fulmarscale.entry.durable.rows import RowKey
    from fulmarscale.entry.durable.rows import RowWrite

CALL_DURATION_S: Final = 0.01
"""Duration of a transaction."""


class MemoryRows(RowTable):
    """One entry's way to a store in memory.

    :param rows: the rows, shared by all entries.
    """

    def __init__(self, rows: dict[RowKey, Row]) -> None:
        self._rows = rows
        self.is_silent = False
        """Whether writes are neither applied nor answered."""
        self.commits = 0
        """Number of transactions that the entry has sent."""
        self.unreadable_part: str | None = None
        """A part that can't be read; none if all can."""

    async def commit(self, writes: tuple[RowWrite, ...]) -> CommitResult:
        """Apply all writes or none."""
        self.commits += 1
        await asyncio.sleep(CALL_DURATION_S)
        if self.is_silent:
            return CommitResult(CommitStatus.UNKNOWN)
        present = [self._rows.get(write.row_key) for write in writes]
        for write, row in zip(writes, present, strict=True):
            if (row.version if row else 0) != write.expected_version:
                rows = tuple(each for each in present if each)
                return CommitResult(CommitStatus.CONFLICT, 0, rows)
        versions = (row.version for row in self._rows.values())
        version = max(versions, default=0) + 1
        for write in writes:
            key = write.row_key
            self._rows.pop(key, None)
            if write.value is not None:
                self._rows[key] = Row(key, write.value, version)
        return CommitResult(CommitStatus.APPLIED, version)

    async def read_row(self, name: RowKey) -> Row | None:
        """Return one row."""
        return self._rows.get(name)

    async def read_part(self, table: str, part: str) -> tuple[Row, ...]:
        """Return all rows of one part of a table."""
        if part == self.unreadable_part:
            raise FulmarError(ResultCode.STORE_UNAVAILABLE, part)
        return tuple(
            row
            for key, row in self._rows.items()
            if (key.table, key.part) == (table, part)
        )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of the parts that hold rows."""
        return tuple({key.part for key in self._rows if key.table == table})
