"""The interface to a store of versioned rows with transactions."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from enum import Enum
from typing import Final

import msgspec

ROW_FRAME_BYTES: Final = 200
"""Most bytes of a change as sent, beside its value and its row's key."""

MAX_ESCAPE: Final = 6
"""Most bytes as which a character of a key is sent: a JSON escape."""


class RowKey(msgspec.Struct, frozen=True):
    """The key of a row."""

    table: str
    """The table."""
    part: str
    """The part of the table.

    A transaction may span tables, but only parts of the same name.
    """
    key: str
    """The key within that part."""


class Row(msgspec.Struct, frozen=True):
    """A row as it was read."""

    row_key: RowKey
    """The row's key."""
    value: bytes
    """The stored value."""
    version: int
    """The row's version: the store's counter at its last change."""


class RowWrite(msgspec.Struct, frozen=True):
    """One change of a transaction."""

    row_key: RowKey
    """The row's key."""
    value: bytes | None
    """The new value; none removes the row."""
    expected_version: int
    """The version that the row must have; 0 if it must not exist."""

    @property
    def sent_bytes(self) -> int:
        """The most bytes that the change takes in a call.

        The value is sent in base64, and the key twice.
        """
        key = self.row_key
        names = len(f"{key.table}{key.part}{key.key}".encode())
        value = 4 * -(-len(self.value or b"") // 3)
        return value + 2 * MAX_ESCAPE * names + ROW_FRAME_BYTES


class CommitStatus(Enum):
    """The outcome of a transaction."""

    APPLIED = "applied"
    """All writes were applied."""
    CONFLICT = "conflict"
    """Nothing was written: a row had another version than expected."""
    REFUSED = "refused"
    """Nothing was written, and nothing of this attempt will be."""
    TOO_LARGE = "too_large"
    """The store accepts no call like this; no attempt of it was applied."""
    UNKNOWN = "unknown"
    """No answer: the writes may have been applied, or may still be."""


class CommitResult(msgspec.Struct, frozen=True):
    """The store's result of a transaction."""

    status: CommitStatus
    """The outcome of the transaction."""
    version: int = 0
    """The new version of all rows that were written."""
    rows: tuple[Row, ...] = ()
    """After a conflict, the current rows of the transaction."""


class RowTable(ABC):
    """The interface of a client of the store.

    Reads raise `FulmarError` with STORE_UNAVAILABLE if no answer came.
    """

    @abstractmethod
    async def commit(self, writes: tuple[RowWrite, ...]) -> CommitResult:
        """Apply all writes or none.

        All rows must be in parts of the same name.
        """

    @abstractmethod
    async def read_row(self, name: RowKey) -> Row | None:
        """Return one row; none if it does not exist."""

    @abstractmethod
    async def read_part(self, table: str, part: str) -> tuple[Row, ...]:
        """Return all rows of one part of a table."""

    @abstractmethod
    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of the parts of a table that hold rows."""
