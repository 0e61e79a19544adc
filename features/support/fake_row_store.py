"""In-memory row store with optimistic locking, under virtual time.

Acknowledged transactions are durable. Answers can get lost, and a
transaction can be applied after its caller has timed out, provided that the
row versions that it expects still match.
"""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.record import MEMBER_TABLE
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import Row
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.entry.durable.rows import RowWrite

if TYPE_CHECKING:
    from features.support.run_site import VirtualClock

CALL_DURATION_S: Final = 0.006
"""Round trip of a call while the store is healthy."""

ROW_BYTES: Final = 65_536
"""The longest value of a row; writes of longer ones are never applied."""

CALL_TIMEOUT_S: Final = 1.0
"""Time after which a caller treats an unanswered commit as unknown."""


class StoreMode(Enum):
    """How the store handles calls. Scenarios select a mode by its value."""

    HEALTHY = "sound"
    """Calls are applied and answered."""
    REJECTS = "refuses"
    """Commits are rejected at once and not applied."""
    UNRESPONSIVE = "silent"
    """Commits are neither applied nor answered."""
    LOSES_ANSWERS = "loses"
    """Commits are applied, and the answer to every second one is lost."""
    APPLIES_LATE = "late"
    """Commits are applied 2 s after the call and never answered."""


class FakeRowStore:
    """Row store that all entries of a virtual site share.

    :param clock: virtual time, in which calls are carried out.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._call_count = 0
        self.version = 0
        """Version given to the rows of the newest applied transaction."""
        self.rows: dict[RowKey, Row] = {}
        """The stored rows."""
        self.write_counts: dict[RowKey, int] = {}
        """Number of writes to each row, deletions included."""
        self.mode = StoreMode.HEALTHY
        """How calls are handled now."""
        self.loses_next_removal = False
        """Whether the answer to the next removal of a lease row is lost."""
        self.next_record_delay_s = 0.0
        """How late the next write of a job's record is applied.

        It gets no answer. 0 for no delay.
        """
        self.disconnected_entries: set[str] = set()
        """Names of entries whose calls are neither applied nor answered."""

    def commit(
        self, caller: str, writes: tuple[RowWrite, ...], on_answer: Any
    ) -> None:
        """Start a transaction.

        :param caller: name of the entry that makes the call.
        :param writes: rows to write, in any tables, but only in parts of the
            same name.
        :param on_answer: called with the `CommitResult`, or with an unknown
            status once the caller has timed out.
        """
        self._call_count += 1
        unknown = CommitResult(CommitStatus.UNKNOWN)
        mode = (
            StoreMode.UNRESPONSIVE
            if caller in self.disconnected_entries
            else self.mode
        )
        if mode is StoreMode.LOSES_ANSWERS and self._call_count % 2:
            mode = StoreMode.HEALTHY
        is_removal = any(
            write.value is None and write.row_key.table == MEMBER_TABLE
            for write in writes
        )
        if is_removal and self.loses_next_removal:
            self.loses_next_removal = False
            mode = StoreMode.LOSES_ANSWERS
        is_record = any(
            write.row_key.table == RECORD_TABLE for write in writes
        )
        late_s = 2.0
        if is_record and self.next_record_delay_s:
            late_s = self.next_record_delay_s
            self.next_record_delay_s = 0.0
            mode = StoreMode.APPLIES_LATE
        if any(len(write.value or b"") > ROW_BYTES for write in writes):
            mode = StoreMode.UNRESPONSIVE
        match mode:
            case StoreMode.HEALTHY:
                self._clock.call_in(
                    CALL_DURATION_S / 2,
                    lambda: self._apply_and_answer(writes, on_answer),
                )
            case StoreMode.REJECTS:
                refused = CommitResult(CommitStatus.REFUSED)
                self._clock.call_in(
                    CALL_DURATION_S, lambda: on_answer(refused)
                )
            case StoreMode.UNRESPONSIVE:
                self._clock.call_in(CALL_TIMEOUT_S, lambda: on_answer(unknown))
            case StoreMode.LOSES_ANSWERS:
                self._clock.call_in(
                    CALL_DURATION_S / 2, lambda: self._apply(writes)
                )
                self._clock.call_in(CALL_TIMEOUT_S, lambda: on_answer(unknown))
            case StoreMode.APPLIES_LATE:
                self._clock.call_in(late_s, lambda: self._apply(writes))
                self._clock.call_in(CALL_TIMEOUT_S, lambda: on_answer(unknown))

    def is_readable(self, caller: str) -> bool:
        """Return whether reads of a caller are answered."""
        readable_modes = (StoreMode.HEALTHY, StoreMode.LOSES_ANSWERS)
        return (
            caller not in self.disconnected_entries
            and self.mode in readable_modes
        )

    def read_table(self, table: str) -> tuple[Row, ...]:
        """Return all rows of a table, sorted by key."""
        return tuple(
            row
            for name, row in sorted(
                self.rows.items(), key=lambda item: str(item[0])
            )
            if name.table == table
        )

    def _apply_and_answer(
        self, writes: tuple[RowWrite, ...], on_answer: Any
    ) -> None:
        """Apply a transaction and deliver its answer."""
        answer = self._apply(writes)
        self._clock.call_in(CALL_DURATION_S / 2, lambda: on_answer(answer))

    def _apply(self, writes: tuple[RowWrite, ...]) -> CommitResult:
        """Apply all writes if every row has its expected version."""
        assert len({write.row_key.part for write in writes}) == 1, (
            "a transaction must write to a single partition"
        )
        current_rows = [self.rows.get(write.row_key) for write in writes]
        existing_rows = tuple(row for row in current_rows if row is not None)
        for write, row in zip(writes, current_rows, strict=True):
            version = 0 if row is None else row.version
            if version != write.expected_version:
                return CommitResult(CommitStatus.CONFLICT, 0, existing_rows)
        self.version += 1
        for write in writes:
            write_count = self.write_counts.get(write.row_key, 0)
            self.write_counts[write.row_key] = write_count + 1
            if write.value is None:
                self.rows.pop(write.row_key, None)
                continue
            self.rows[write.row_key] = Row(
                write.row_key, write.value, self.version
            )
        return CommitResult(CommitStatus.APPLIED, self.version)
