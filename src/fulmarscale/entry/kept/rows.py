"""A store of versioned rows with transactions, as kept jobs use it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from enum import Enum

import msgspec


class RowKey(msgspec.Struct, frozen=True):
    """Names a row."""

    table: str
    """The table."""
    part: str
    """The part of the table; one transaction stays within one part."""
    key: str
    """The key in that part."""


class Row(msgspec.Struct, frozen=True):
    """A row as it was read."""

    name: RowKey
    """The row's name."""
    value: bytes
    """What it holds."""
    version: int
    """The store's counter at its last change."""


class RowWrite(msgspec.Struct, frozen=True):
    """One change of a transaction."""

    name: RowKey
    """The row's name."""
    value: bytes | None
    """What it is to hold; none removes it."""
    expected_version: int
    """The version that it must have; 0 if it must not exist."""


class CommitStatus(Enum):
    """What became of a transaction."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    """Nothing was done: a row had another version."""
    REFUSED = "refused"
    """Nothing was done, and that attempt never will be."""
    UNKNOWN = "unknown"
    """No answer: it may have been done, or may still be."""


class CommitAnswer(msgspec.Struct, frozen=True):
    """The store's answer to a transaction."""

    status: CommitStatus
    """What became of it."""
    version: int = 0
    """The version of all rows that were written."""
    rows: tuple[Row, ...] = ()
    """After a conflict, the rows as they are."""


class RowTable(ABC):
    """A client of the store.

    Reads raise `FulmarError` with STORE_UNAVAILABLE if no answer came.
    """

    @abstractmethod
    async def commit(self, writes: tuple[RowWrite, ...]) -> CommitAnswer:
        """Apply all writes or none; all rows are in one part."""

    @abstractmethod
    async def read_row(self, name: RowKey) -> Row | None:
        """Read one row."""

    @abstractmethod
    async def read_part(self, table: str, part: str) -> tuple[Row, ...]:
        """Read all rows of one part of a table."""

    @abstractmethod
    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the parts of a table that hold rows."""
