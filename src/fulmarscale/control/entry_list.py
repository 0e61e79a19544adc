"""The list of entries, and the assignment of keys to their owners.

A key is a submission's id, or names a customer's quota. Its owner is chosen by
rendezvous hash over the entries on the list, so that a change of the list
changes the owner of few keys.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.ids import DataCentreName
from fulmarscale.ids import EntryId

if TYPE_CHECKING:
    from collections.abc import Iterable


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry on the list."""

    entry: EntryId
    """The entry."""
    address: str
    """The address of its stream listener, as IP:port."""
    url: str
    """The base URL of its HTTP listener."""
    data_centre: DataCentreName
    """The data centre in which it runs."""


class EntryList(msgspec.Struct, frozen=True, array_like=True):
    """One version of the list of entries."""

    version: int
    """The version of the row in the platform's table; 0 for none."""
    members: tuple[Member, ...]
    """The members, sorted."""

    def find(self, entry: EntryId) -> Member | None:
        """Return the member with an id; none if it is not on the list."""
        for member in self.members:
            if member.entry == entry:
                return member
        return None

    def without(self, entry: EntryId) -> tuple[Member, ...]:
        """Return all members but one."""
        return tuple(m for m in self.members if m.entry != entry)

    def owner(self, key: str) -> Member | None:
        """Return a key's owner, the member of the highest rendezvous hash."""
        return max(
            self.members,
            key=lambda member: _hash_weight(member.entry.name, key),
            default=None,
        )


def _hash_weight(name: str, key: str) -> bytes:
    text = f"{name}\0{key}".encode()
    return blake2b(text, digest_size=8).digest()


class AdoptedList(NamedTuple):
    """A version of the list, and when this entry adopted it."""

    adopted_at: float
    """Monotonic time of the adoption."""
    entry_list: EntryList
    """The version of the list."""


class OwnershipTerm(NamedTuple):
    """An unbroken time during which an entry owns a key."""

    gained_at: float
    """Monotonic time when the first version with this owner was adopted."""
    list_version: int
    """The number of that version."""
    prior: EntryId | None
    """The owner in the version before it; none if that is unknown."""


class EntryListHistory:
    """The versions of the list that this entry has adopted.

    Version numbers only rise. A version is dropped when it was replaced
    longer ago than the retention time: ids from before that are rejected for
    their age.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._adopted_lists: list[AdoptedList] = []

    @property
    def current(self) -> EntryList:
        """The newest adopted version; version 0 before the first."""
        if not self._adopted_lists:
            return EntryList(version=0, members=())
        return self._adopted_lists[-1].entry_list

    @property
    def adopted_at(self) -> float:
        """When the newest version was adopted; minus infinity if none."""
        if not self._adopted_lists:
            return float("-inf")
        return self._adopted_lists[-1].adopted_at

    @property
    def adopted_lists(self) -> tuple[AdoptedList, ...]:
        """The adopted versions that are retained, oldest first."""
        return tuple(self._adopted_lists)

    def clear(self) -> None:
        """Drop all versions, for a new incarnation."""
        self._adopted_lists.clear()

    def adopt(self, entry_list: EntryList, now: float) -> bool:
        """Adopt a version if it is newer than the current one.

        :param entry_list: the version.
        :param now: monotonic time.
        :returns: whether it was newer than the current one.
        """
        if entry_list.version <= self.current.version:
            return False
        self._adopted_lists.append(AdoptedList(now, entry_list))
        while len(self._adopted_lists) > 1 and (
            self._adopted_lists[1].adopted_at < now - self._retention_s
        ):
            del self._adopted_lists[0]
        return True

    def ownership_term(
        self, entry: EntryId, key: str, max_version: int | None = None
    ) -> OwnershipTerm | None:
        """Return the term of an entry's present ownership of a key.

        :param entry: the entry.
        :param key: the key.
        :param max_version: the last version to consider; the newest if none.
        :returns: the term, or none if the entry is not the owner.
        """
        adopted_lists = self._lists_up_to(max_version)
        term = None
        for position in range(len(adopted_lists) - 1, -1, -1):
            adopted = adopted_lists[position]
            owner = adopted.entry_list.owner(key)
            if owner is None or owner.entry != entry:
                break
            prior = _prior_owner(adopted_lists, position, key)
            term = OwnershipTerm(
                adopted.adopted_at, adopted.entry_list.version, prior
            )
            if prior != entry:
                break
        return term

    def _lists_up_to(self, version: int | None) -> list[AdoptedList]:
        if version is None:
            return self._adopted_lists
        return [
            v for v in self._adopted_lists if v.entry_list.version <= version
        ]


def _prior_owner(
    adopted_lists: list[AdoptedList], position: int, key: str
) -> EntryId | None:
    if position == 0:
        return None
    previous = adopted_lists[position - 1].entry_list
    # A skipped version may have had another owner, unknown to this entry.
    if previous.version + 1 != adopted_lists[position].entry_list.version:
        return None
    owner = previous.owner(key)
    return owner.entry if owner is not None else None


def sort_members(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members sorted, so that equal lists are encoded equally."""
    return tuple(sorted(members))
