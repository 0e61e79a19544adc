"""The lease under which an entry owns kept jobs, and others' leases.

An entry's row in the store is its lease: it owns jobs for LEASE_S after it
sent a renewal that was applied. Another entry removes the row, and takes the
jobs over, when the row has not changed for TAKEOVER_S: by then the owner has
stopped, and so have its runs. It holds no socket and no clock.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING
from zlib import crc32

from fulmarscale.entry.kept.actions import CommitMember
from fulmarscale.entry.kept.record import decode_member
from fulmarscale.entry.kept.record import encode_row
from fulmarscale.entry.kept.record import member_key
from fulmarscale.entry.kept.record import MemberRecord
from fulmarscale.entry.kept.rows import CommitStatus
from fulmarscale.entry.kept.rows import RowWrite
from fulmarscale.runs.limits import SURELY_OVER_S

if TYPE_CHECKING:
    from fulmarscale.entry.kept.record import SeenMember
    from fulmarscale.entry.kept.rows import CommitAnswer
    from fulmarscale.entry.kept.rows import Row
    from fulmarscale.ids import EntryId

RENEW_S: Final = 1.0
"""Time between renewals.

They carry counts that callers may be told for 2 s (the platform's bound).
"""

LEASE_S: Final = 6.0
"""How long an entry owns jobs after a renewal was sent.

Longer than the store's usual outages of 4.5 s, so that they stop no work.
"""

TAKEOVER_S: Final = LEASE_S + SURELY_OVER_S + 0.5
"""Time without a change of its row after which an entry's jobs pass on.

The owner's last runs have ended SURELY_OVER_S after its lease; half a second
covers the pause between its looks at the lease and clocks 2% apart.
"""

RETRY_S: Final = 0.3
"""Pause after a renewal that was not applied."""


class OtherEntry:
    """Another entry's row, as seen last."""

    def __init__(self, seen: SeenMember, now: float) -> None:
        self.member = seen.member
        self.version = seen.version
        self.seen_at = now
        """When its last change was seen."""


class Membership:
    """The leases that one entry holds and sees."""

    def __init__(self, entry: EntryId) -> None:
        self._entry = entry
        self._version = 0
        self._renewals = 0
        self._confirmed_at = float("-inf")
        self._sent_at = float("-inf")
        self._retry_at = float("-inf")
        self._is_writing = False
        self._removing: set[str] = set()
        self._others: dict[str, OtherEntry] = {}
        self._inherited: dict[str, int] = {}
        """Counts of former owners whose jobs are not taken over yet."""

    @property
    def others(self) -> dict[str, OtherEntry]:
        """Other entries' rows by name."""
        return self._others

    @property
    def has_inherited(self) -> bool:
        """Whether counts of former owners are told."""
        return bool(self._inherited)

    def holds_lease(self, now: float) -> bool:
        """Tell whether this entry may own jobs."""
        return now - self._confirmed_at < LEASE_S

    def pending_of(self, queue: str) -> int:
        """Sum what other entries said of jobs that have not begun."""
        return sum(
            other.member.pending.get(queue, 0)
            for other in self._others.values()
        )

    def see(self, members: tuple[SeenMember, ...], now: float) -> None:
        """Take in all entries' rows."""
        present = {seen.name for seen in members}
        for name in list(self._others):
            if name not in present:
                del self._others[name]
        for seen in members:
            if seen.name == self._entry.name:
                continue
            known = self._others.get(seen.name)
            if known is None or known.version < seen.version:
                self._others[seen.name] = OtherEntry(seen, now)

    def renew(
        self, pending: dict[str, int], now: float
    ) -> CommitMember | None:
        """Renew the lease if it is time."""
        if self._is_writing or now < self._retry_at:
            return None
        if now - self._sent_at < RENEW_S:
            return None
        self._is_writing = True
        self._sent_at = now
        self._renewals += 1
        record = MemberRecord(self._entry.incarnation, self._renewals, pending)
        name = self._entry.name
        write = RowWrite(member_key(name), encode_row(record), self._version)
        return CommitMember(name, write)

    def remove_expired(self, now: float) -> list[CommitMember]:
        """Remove rows of entries that are gone, if that falls to this one."""
        if not self.holds_lease(now):
            return []
        expired = [
            name
            for name, other in self._others.items()
            if now - other.seen_at > TAKEOVER_S and name not in self._removing
        ]
        live = [*sorted(set(self._others) - set(expired)), self._entry.name]
        removals = []
        for name in expired:
            heir = max(live, key=lambda entry: _rank(name, entry))
            if heir != self._entry.name:
                continue
            self._removing.add(name)
            version = self._others[name].version
            write = RowWrite(member_key(name), None, version)
            removals.append(CommitMember(name, write))
        return removals

    def settle(self, name: str, answer: CommitAnswer, now: float) -> bool:
        """Take in the answer to a write of an entry's row.

        :param name: whose row it was.
        :param answer: what became of it.
        :param now: the entry's time.
        :returns: whether another entry's lease was ended for good.
        """
        if name != self._entry.name:
            self._removing.discard(name)
            if answer.status is CommitStatus.APPLIED:
                removed = self._others.pop(name, None)
                if removed is not None:
                    self._inherit(removed.member.pending)
                return True
            other = self._others.get(name)
            if other is not None and answer.status is CommitStatus.CONFLICT:
                # It has renewed its lease after all.
                other.seen_at = now
            return False
        self._is_writing = False
        if answer.status is CommitStatus.APPLIED:
            self._version = answer.version
            self._confirmed_at = self._sent_at
            return False
        if answer.status is CommitStatus.CONFLICT:
            self._note_conflict(answer.rows)
            return False
        self._retry_at = now + RETRY_S
        self._sent_at = float("-inf")
        return False

    def _note_conflict(self, rows: tuple[Row, ...]) -> None:
        """Go on from the row as it is.

        It is from a former life of this entry, or from a renewal whose
        answer was lost; or it is gone, as another entry removed it.
        """
        self._sent_at = float("-inf")
        if not rows:
            self._version = 0
            self._confirmed_at = float("-inf")
            return
        self._version = rows[0].version
        found = decode_member(rows[0].value)
        if found is None or found.incarnation != self._entry.incarnation:
            self._confirmed_at = float("-inf")
        if found is not None and found.incarnation != self._entry.incarnation:
            self._inherit(found.pending)

    def _inherit(self, pending: dict[str, int]) -> None:
        """Go on telling of jobs until they are this entry's own."""
        self._inherited = _add_counts(self._inherited, pending)
        self._sent_at = float("-inf")

    def note_taken_over(self) -> None:
        """Tell only of own jobs from now on: all others are taken over."""
        self._inherited = {}
        self._sent_at = float("-inf")


def _add_counts(
    first: dict[str, int], second: dict[str, int]
) -> dict[str, int]:
    return {
        queue: first.get(queue, 0) + second.get(queue, 0)
        for queue in sorted({*first, *second})
    }


def _rank(name: str, entry: str) -> tuple[int, str]:
    """Rank an entry as the heir of another, by rendezvous hash."""
    return crc32(f"{name}/{entry}".encode()), entry
