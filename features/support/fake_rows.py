"""A store of versioned rows under virtual time.

It keeps what it has acknowledged. Answers can get lost, and what was sent
can take effect late if its conditions still hold.
"""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.kept.rows import CommitAnswer
from fulmarscale.entry.kept.rows import CommitStatus
from fulmarscale.entry.kept.rows import Row
from fulmarscale.entry.kept.rows import RowKey
from fulmarscale.entry.kept.rows import RowWrite

if TYPE_CHECKING:
    from features.support.run_site import Clock

CALL_S: Final = 0.006
"""What a call takes when all is well."""

TIMEOUT_S: Final = 1.0
"""When a caller gives up on an answer."""


class StoreMode(Enum):
    """How the store treats calls."""

    SOUND = "sound"
    REFUSES = "refuses"
    """It does nothing and says so."""
    SILENT = "silent"
    """It does nothing and says nothing."""
    LOSES = "loses"
    """It does what it is asked, and each second answer is lost."""
    LATE = "late"
    """It answers nothing and does what it is asked 2 s later."""


class FakeRows:
    """The store."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls = 0
        self.version = 0
        self.rows: dict[RowKey, Row] = {}
        self.written: dict[RowKey, int] = {}
        """How often each row was written."""
        self.mode = StoreMode.SOUND
        self.cut: set[str] = set()
        """Entries whose calls get no answer and do nothing."""

    def commit(
        self, caller: str, writes: tuple[RowWrite, ...], settle: Any
    ) -> None:
        """Take a transaction; `settle` gets the answer."""
        self._calls += 1
        unknown = CommitAnswer(CommitStatus.UNKNOWN)
        mode = StoreMode.SILENT if caller in self.cut else self.mode
        if mode is StoreMode.LOSES and self._calls % 2:
            mode = StoreMode.SOUND
        match mode:
            case StoreMode.SOUND:
                self._clock.call_in(
                    CALL_S / 2, lambda: self._answer(writes, settle)
                )
            case StoreMode.REFUSES:
                refused = CommitAnswer(CommitStatus.REFUSED)
                self._clock.call_in(CALL_S, lambda: settle(refused))
            case StoreMode.SILENT:
                self._clock.call_in(TIMEOUT_S, lambda: settle(unknown))
            case StoreMode.LOSES:
                self._clock.call_in(CALL_S / 2, lambda: self._apply(writes))
                self._clock.call_in(TIMEOUT_S, lambda: settle(unknown))
            case StoreMode.LATE:
                self._clock.call_in(2.0, lambda: self._apply(writes))
                self._clock.call_in(TIMEOUT_S, lambda: settle(unknown))

    def is_readable(self, caller: str) -> bool:
        """Tell whether a caller gets answers to reads."""
        sound = (StoreMode.SOUND, StoreMode.LOSES)
        return caller not in self.cut and self.mode in sound

    def read_table(self, table: str) -> tuple[Row, ...]:
        """Read all rows of a table."""
        return tuple(
            row
            for name, row in sorted(
                self.rows.items(), key=lambda item: str(item[0])
            )
            if name.table == table
        )

    def _answer(self, writes: tuple[RowWrite, ...], settle: Any) -> None:
        answer = self._apply(writes)
        self._clock.call_in(CALL_S / 2, lambda: settle(answer))

    def _apply(self, writes: tuple[RowWrite, ...]) -> CommitAnswer:
        assert len({write.name.part for write in writes}) == 1, "two parts"
        found = [self.rows.get(write.name) for write in writes]
        present = tuple(row for row in found if row is not None)
        for write, row in zip(writes, found, strict=True):
            version = 0 if row is None else row.version
            if version != write.expected_version:
                return CommitAnswer(CommitStatus.CONFLICT, 0, present)
        self.version += 1
        for write in writes:
            count = self.written.get(write.name, 0)
            self.written[write.name] = count + 1
            if write.value is None:
                self.rows.pop(write.name, None)
                continue
            self.rows[write.name] = Row(write.name, write.value, self.version)
        return CommitAnswer(CommitStatus.APPLIED, self.version)
