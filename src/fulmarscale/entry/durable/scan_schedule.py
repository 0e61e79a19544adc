"""When an entry scans the records for jobs whose owner is lost."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.record import DurableJobState

if TYPE_CHECKING:
    from fulmarscale.entry.durable.membership import Membership
    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.entry.durable.record import JobRow
    from fulmarscale.entry.durable.record import MemberRow
    from fulmarscale.ids import EntryId

RETRY_DELAY_S: Final = 0.5
"""Delay after a scan of the records that failed."""

QUERY_SCAN_PAUSE_S: Final = 2.0
"""Least time between two scans that callers' queries cause."""

OWN_SCAN_S: Final = 5.0
"""Time in which an owner that has started again takes its jobs back."""


def lost_jobs(
    records: tuple[JobRow, ...],
    members: tuple[MemberRow, ...],
    entry: EntryId,
) -> list[JobRow]:
    """Return the jobs that an entry may take over.

    :param records: all jobs' rows.
    :param members: all entries' lease rows, read after the jobs' rows.
    :param entry: the entry; jobs whose stored owner it is are included.
    """
    live_owners = {(row.name, row.member.incarnation) for row in members}
    return [
        row
        for row in records
        if row.record.owner == entry
        or (row.record.owner.name, row.record.owner.incarnation)
        not in live_owners
    ]


class ScanSchedule:
    """Decides when one entry scans the records; one scan at a time.

    :param membership: the leases of all entries.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._is_needed = False
        self._is_scanning = False
        self._retry_at = float("-inf")
        self._due_at = float("inf")
        """When to scan if not before."""
        self._query_due_at = float("inf")
        """When to scan because of callers' queries."""
        self._next_query_scan_at = float("-inf")
        """The earliest time of the next such scan."""

    @property
    def is_settled(self) -> bool:
        """Whether no scan is needed or under way."""
        return not self._is_needed and not self._is_scanning

    def request(self) -> None:
        """Scan as soon as possible."""
        self._is_needed = True

    def request_at(self, due_at: float) -> None:
        """Scan at a later time.

        :param due_at: the entry's time.
        """
        self._due_at = min(self._due_at, due_at)

    def request_if_ownerless(self, record: DurableJobRecord | None) -> None:
        """Scan if a job's stored owner is lost.

        A write of that owner was applied after the last scan.
        """
        if record is not None and self._is_ownerless(record):
            self._is_needed = True

    def request_for_query(self, record: DurableJobRecord, now: float) -> None:
        """Scan soon if the stored owner of a job that was queried is lost.

        :param record: the job's record.
        :param now: the entry's time.
        """
        if not self._is_ownerless(record):
            return
        returned_at = self._membership.live_since(record.owner.name)
        due_at = max(now, self._next_query_scan_at, returned_at + OWN_SCAN_S)
        self._query_due_at = min(self._query_due_at, due_at)

    def take_due(self, now: float) -> bool:
        """Return whether a scan is due, and mark it as under way.

        :param now: the entry's time.
        """
        is_query_due = now >= self._query_due_at
        is_due = self._is_needed or is_query_due or now >= self._due_at
        if not is_due or self._is_scanning or now < self._retry_at:
            return False
        if is_query_due:
            self._next_query_scan_at = now + QUERY_SCAN_PAUSE_S
            self._query_due_at = float("inf")
        if now >= self._due_at:
            self._due_at = float("inf")
        self._is_needed = False
        self._is_scanning = True
        return True

    def finish(self) -> None:
        """Record that a scan has ended."""
        self._is_scanning = False

    def fail(self, now: float) -> None:
        """Record that the records could not be read.

        :param now: the entry's time.
        """
        self._is_scanning = False
        self._is_needed = True
        self._retry_at = now + RETRY_DELAY_S

    def _is_ownerless(self, record: DurableJobRecord) -> bool:
        """Return whether a job is open and its stored owner is lost."""
        is_open = record.state is DurableJobState.OPEN
        return is_open and not self._membership.is_live(record.owner)
