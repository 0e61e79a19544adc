"""The list of entries, and which of them owns a submission."""

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
    """Where its streams are served, as IP:port."""
    url: str
    """Where its HTTP is served."""
    data_centre: DataCentreName
    """Where it runs."""


class EntryList(msgspec.Struct, frozen=True, array_like=True):
    """One version of the list of entries."""

    version: int
    """The version of the row in the platform's table; 0 for none."""
    members: tuple[Member, ...]
    """The members in order."""

    def find(self, entry: EntryId) -> Member | None:
        """Find a member by its id."""
        for member in self.members:
            if member.entry == entry:
                return member
        return None

    def without(self, entry: EntryId) -> tuple[Member, ...]:
        """List all members but one."""
        return tuple(m for m in self.members if m.entry != entry)

    def owner(self, key: str) -> Member | None:
        """Find the owner of a key, the highest by rendezvous hash."""
        return max(
            self.members,
            key=lambda member: _weight(member.entry.name, key),
            default=None,
        )


def _weight(name: str, key: str) -> bytes:
    text = f"{name}\0{key}".encode()
    return blake2b(text, digest_size=8).digest()


class View(NamedTuple):
    """A version of the list and when it was adopted."""

    adopted_at: float
    """Monotonic time of the adoption."""
    entry_list: EntryList
    """The version."""


class Tenure(NamedTuple):
    """Since when, and after whom, an entry owns a key."""

    gained_at: float
    """Monotonic time when the entry adopted the first owning view."""
    list_version: int
    """The version of that view."""
    prior: EntryId | None
    """The owner in the version before it; none if that is not known."""


class ViewHistory:
    """The versions of the list that this entry has adopted.

    Versions only go up. Only the kept span is needed: an older id is
    refused for its age.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._views: list[View] = []

    @property
    def current(self) -> EntryList:
        """The newest adopted version; version 0 before the first."""
        if not self._views:
            return EntryList(version=0, members=())
        return self._views[-1].entry_list

    @property
    def adopted_at(self) -> float:
        """When the newest version was adopted; minus infinity if none."""
        if not self._views:
            return float("-inf")
        return self._views[-1].adopted_at

    @property
    def views(self) -> tuple[View, ...]:
        """The adopted versions that are kept, oldest first."""
        return tuple(self._views)

    def clear(self) -> None:
        """Forget all versions, as a new incarnation does."""
        self._views.clear()

    def adopt(self, entry_list: EntryList, now: float) -> bool:
        """Take over a newer version.

        :param entry_list: the version seen.
        :param now: monotonic time.
        :returns: whether it was newer than the current one.
        """
        if entry_list.version <= self.current.version:
            return False
        self._views.append(View(now, entry_list))
        while len(self._views) > 1 and (
            self._views[1].adopted_at < now - self._kept_s
        ):
            del self._views[0]
        return True

    def tenure(
        self, entry: EntryId, key: str, upto: int | None = None
    ) -> Tenure | None:
        """Find since when an entry owns a key without a break.

        :param entry: the entry.
        :param key: the key.
        :param upto: the last version to look at; the newest if none.
        :returns: the tenure, or none if the entry is not the owner.
        """
        views = self._upto(upto)
        tenure = None
        for position in range(len(views) - 1, -1, -1):
            view = views[position]
            owner = view.entry_list.owner(key)
            if owner is None or owner.entry != entry:
                break
            prior = _prior_owner(views, position, key)
            tenure = Tenure(view.adopted_at, view.entry_list.version, prior)
            if prior != entry:
                break
        return tenure

    def _upto(self, version: int | None) -> list[View]:
        if version is None:
            return self._views
        return [v for v in self._views if v.entry_list.version <= version]


def _prior_owner(views: list[View], position: int, key: str) -> EntryId | None:
    if position == 0:
        return None
    before = views[position - 1].entry_list
    # A skipped version may have had an owner that this entry never saw.
    if before.version + 1 != views[position].entry_list.version:
        return None
    owner = before.owner(key)
    return owner.entry if owner is not None else None


def sort_members(members: Iterable[Member]) -> tuple[Member, ...]:
    """Put members in order, so that equal lists are equal bytes."""
    return tuple(sorted(members))
