"""The lease under which an entry owns durable jobs, and others' leases.

An entry's row in the store is its lease. The entry may own jobs for
OWNERSHIP_LEASE_S after it sent a renewal that was applied. When the row has
not changed for TAKEOVER_DELAY_S, another entry removes it and takes the jobs
over: by then the former owner has stopped, and so have its runs. This module
does no I/O and reads no clock: its callers pass the time.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING
from zlib import crc32

from fulmarscale.entry.durable.actions import CommitMember
from fulmarscale.entry.durable.record import decode_member
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import MAX_ROW_BYTES
from fulmarscale.entry.durable.record import member_key
from fulmarscale.entry.durable.record import MemberRecord
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.runs.limits import RUN_EXPIRY_S

if TYPE_CHECKING:
    from fulmarscale.entry.durable.record import MemberRow
    from fulmarscale.entry.durable.rows import CommitResult
    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.ids import EntryId

RENEWAL_INTERVAL_S: Final = 1.0
"""Time between renewals of the lease.

Renewals carry counts of pending jobs. A count that is reported to callers may
be at most 2 s old (the platform's limit).
"""

OWNERSHIP_LEASE_S: Final = 6.0
"""How long an entry may own jobs after it sent a renewal.

Longer than the store's usual outages of 4.5 s, so that those stop no work.
"""

TAKEOVER_DELAY_S: Final = OWNERSHIP_LEASE_S + RUN_EXPIRY_S + 0.5
"""Time without a change of an entry's row until its jobs are taken over.

The owner's last runs have ended RUN_EXPIRY_S after its lease ran out. Half
a second covers the interval at which the owner checks its lease, and clocks
whose rates differ by 2%.
"""

MAX_TAKEOVER_S: Final = 10.0
"""Time after which former owners' counts are dropped at the latest."""

RETRY_DELAY_S: Final = 0.3
"""Delay after a renewal that was refused or got no answer."""


class OtherEntry:
    """Another entry's lease row, as last read."""

    def __init__(self, row: MemberRow, now: float) -> None:
        self.member = row.member
        self.version = row.version
        self.changed_at = now
        """When this entry read the last change of the row."""
        self.live_since = now
        """When this entry first read the row of this incarnation."""


class Membership:
    """One entry's own lease, and its view of other entries' leases."""

    def __init__(self, entry: EntryId) -> None:
        self._entry = entry
        self._row_version = 0
        """The version of this entry's row; 0 if there is none."""
        self._renewals = 0
        """Number of renewals sent, stored in the row."""
        self._renewed_at = float("-inf")
        """When the newest renewal that was applied was sent.

        It is minus infinity if `_sent_at` was reset while the renewal was in
        flight, or if the lease was lost.
        """
        self._sent_at = float("-inf")
        """When the newest renewal was sent; reset to renew at once."""
        self._retry_at = float("-inf")
        self._is_writing = False
        """Whether a renewal is in flight."""
        self._removing: dict[str, dict[str, int]] = {}
        """Entries whose rows this entry is removing, with their counts."""
        self._unconfirmed: set[str] = set()
        """Entries for which the answer to a removal was lost."""
        self._others: dict[str, OtherEntry] = {}
        self._own_counts: dict[str, int] = {}
        """Own jobs of which no task has started, by queue."""
        self._inherited_counts: dict[str, int] = {}
        """Pending jobs in former owners' rows, until these are taken over.

        The counts, by queue, include own jobs of before. Less is not reported
        until the takeover is complete; then the lease is renewed at once.
        """
        self._inherited_until = float("-inf")
        """When they are dropped at the latest."""
        self._former_incarnations: set[int] = set()
        """Incarnations of this entry whose counts were inherited."""

    @property
    def others(self) -> dict[str, OtherEntry]:
        """Other entries' rows by name."""
        return self._others

    @property
    def has_inherited_counts(self) -> bool:
        """Whether a takeover of a former owner's pending jobs is awaited."""
        return bool(self._inherited_counts)

    def reported_pending(self, own: dict[str, int]) -> dict[str, int]:
        """Return this entry's pending jobs, with those to be taken over.

        :param own: own jobs of which no task has started, by queue.
        """
        inherited = self._inherited_counts
        return {
            queue: max(own.get(queue, 0), inherited.get(queue, 0))
            for queue in {**inherited, **own}
        }

    def holds_lease(self, now: float) -> bool:
        """Return whether this entry may own jobs."""
        return now - self._renewed_at < OWNERSHIP_LEASE_S

    def pending_of(self, queue: str) -> int:
        """Return the number of other entries' pending jobs in a queue."""
        return sum(
            other.member.pending.get(queue, 0)
            for other in self._others.values()
        )

    def is_live(self, owner: EntryId) -> bool:
        """Return whether an owner of jobs has a lease row, as last read.

        :param owner: the entry and its incarnation.
        """
        if owner.name == self._entry.name:
            return owner == self._entry
        other = self._others.get(owner.name)
        return (
            other is not None and other.member.incarnation == owner.incarnation
        )

    def live_since(self, name: str) -> float:
        """Return since when another entry's process has a lease row.

        :param name: the entry's name.
        :returns: the entry's time; minus infinity if there is no row.
        """
        other = self._others.get(name)
        return float("-inf") if other is None else other.live_since

    def update_rows(self, members: tuple[MemberRow, ...], now: float) -> bool:
        """Update the copies of other entries' rows.

        :param members: the rows of all entries.
        :param now: the entry's time.
        :returns: whether a removal by this entry was applied after all, to
            which the answer was lost.
        """
        listed = {row.name for row in members}
        is_removed = bool(self._unconfirmed - listed)
        self._unconfirmed &= listed
        for name in list(self._others):
            if name not in listed:
                del self._others[name]
        for row in members:
            if row.name == self._entry.name:
                self._inherit_own(row.member, now)
                continue
            previous = self._others.get(row.name)
            if previous is None or previous.version < row.version:
                other = self._others[row.name] = OtherEntry(row, now)
                if previous is not None and (
                    previous.member.incarnation == row.member.incarnation
                ):
                    other.live_since = previous.live_since
        return is_removed

    def renew_if_due(
        self, pending: dict[str, int], now: float
    ) -> CommitMember | None:
        """Return a renewal of the lease if one is due.

        :param pending: own jobs of which no task has started, by queue.
        :param now: the entry's time.
        """
        self._own_counts = pending
        if self._inherited_counts and now > self._inherited_until:
            self.clear_inherited()
        if self._is_writing or now < self._retry_at:
            return None
        if now - self._sent_at < RENEWAL_INTERVAL_S:
            return None
        self._is_writing = True
        self._sent_at = now
        self._renewals += 1
        name = self._entry.name
        value = self._encode_row(self.reported_pending(pending))
        write = RowWrite(member_key(name), value, self._row_version)
        return CommitMember(name, write)

    def _encode_row(self, pending: dict[str, int]) -> bytes:
        """Return the value of the own row.

        The smallest counts are left out if it would be too long for a row.
        """
        while True:
            record = MemberRecord(
                self._entry.incarnation, self._renewals, pending
            )
            value = encode_row(record)
            if len(value) <= MAX_ROW_BYTES:
                return value
            largest = sorted(pending, key=lambda queue: -pending[queue])
            kept = largest[: len(largest) * 9 // 10]
            pending = {queue: pending[queue] for queue in kept}

    def remove_expired(self, now: float) -> list[CommitMember]:
        """Return removals of expired rows for which this entry is responsible.

        The live entry of the highest rank removes an expired entry's row.
        """
        if not self.holds_lease(now):
            return []
        expired = [
            name
            for name, other in self._others.items()
            if now - other.changed_at > TAKEOVER_DELAY_S
            and name not in self._removing
        ]
        live = [*sorted(set(self._others) - set(expired)), self._entry.name]
        removals = []
        for name in expired:
            successor = max(
                live, key=lambda entry: _successor_rank(name, entry)
            )
            if successor != self._entry.name:
                continue
            self._removing[name] = self._others[name].member.pending
            version = self._others[name].version
            write = RowWrite(member_key(name), None, version)
            removals.append(CommitMember(name, write))
        return removals

    def resolve_write(
        self, name: str, answer: CommitResult, now: float
    ) -> bool:
        """Process the store's answer to a write of an entry's row.

        :param name: the entry whose row was written.
        :param answer: the answer.
        :param now: the entry's time.
        :returns: whether another entry's expired row was removed.
        """
        if name != self._entry.name:
            return self._resolve_removal(name, answer, now)
        self._is_writing = False
        if answer.status is CommitStatus.APPLIED:
            self._row_version = answer.version
            self._renewed_at = self._sent_at
            return False
        if answer.status is CommitStatus.CONFLICT:
            self._handle_conflict(answer.rows, now)
            return False
        self._retry_at = now + RETRY_DELAY_S
        self._sent_at = float("-inf")
        return False

    def _resolve_removal(
        self, name: str, answer: CommitResult, now: float
    ) -> bool:
        """Process the store's answer to the removal of an expired row.

        :param name: the entry whose row was to be removed.
        :param answer: the answer.
        :param now: the entry's time.
        :returns: whether this entry has removed it.
        """
        pending = self._removing.pop(name, {})
        if answer.status is CommitStatus.APPLIED:
            self._unconfirmed.discard(name)
            self._others.pop(name, None)
            self._add_inherited(pending, now)
            return True
        if answer.status is CommitStatus.UNKNOWN:
            if name not in self._others:
                # The row was read as removed before the answer timed out.
                return True
            self._unconfirmed.add(name)
        if answer.status is not CommitStatus.CONFLICT:
            return False
        is_gone = not answer.rows
        other = self._others.get(name)
        if other is not None and not is_gone:
            # The other entry has renewed its lease in the meantime.
            other.changed_at = now
        is_own_removal = is_gone and name in self._unconfirmed
        self._unconfirmed.discard(name)
        return is_own_removal

    def _handle_conflict(self, rows: tuple[Row, ...], now: float) -> None:
        """Adopt the version of the row in the store.

        The row was written by an earlier incarnation of this entry, or by a
        renewal whose answer was lost; or another entry has removed it.
        """
        self._sent_at = float("-inf")
        if not rows:
            self._row_version = 0
            self._renewed_at = float("-inf")
            return
        self._row_version = rows[0].version
        stored = decode_member(rows[0].value)
        if stored is None or stored.incarnation != self._entry.incarnation:
            self._renewed_at = float("-inf")
        if stored is not None:
            self._inherit_own(stored, now)

    def _inherit_own(self, member: MemberRecord, now: float) -> None:
        """Inherit the counts in this entry's row from before it restarted."""
        incarnation = member.incarnation
        if incarnation in {
            self._entry.incarnation,
            *self._former_incarnations,
        }:
            return
        self._former_incarnations.add(incarnation)
        self._add_inherited(member.pending, now)

    def _add_inherited(self, pending: dict[str, int], now: float) -> None:
        """Add the counts in a former owner's row, and renew at once."""
        counts = self._inherited_counts or self._own_counts
        self._inherited_counts = _sum_counts(counts, pending)
        self._inherited_until = now + MAX_TAKEOVER_S
        self._sent_at = float("-inf")

    def clear_inherited(self) -> None:
        """Drop inherited counts, as their jobs are taken over.

        The lease is renewed at once, as own counts now include these jobs.
        """
        self._inherited_counts = {}
        self._sent_at = float("-inf")


def _sum_counts(
    first: dict[str, int], second: dict[str, int]
) -> dict[str, int]:
    return {
        queue: first.get(queue, 0) + second.get(queue, 0)
        for queue in sorted({*first, *second})
    }


def _successor_rank(name: str, entry: str) -> tuple[int, str]:
    """Return an entry's rank as successor of another, by rendezvous hash."""
    return crc32(f"{name}/{entry}".encode()), entry
