"""The budget of a process for the bytes of requests that it has not decided.

This module does no I/O. It decides whose bytes are held and who gives way:

- What a complete request needs is granted before what an incomplete one holds.
- No body is begun that the budget can't end: its whole size is claimed first.
- An incomplete request only displaces others that hold more for longer and
  had their time. The one that holds most for longest goes first.
"""

from __future__ import annotations

from typing import Final
from typing import NewType

import msgspec

HolderId = NewType("HolderId", int)
"""A connection or stream that holds bytes."""

DEFAULT_BUDGET_BYTES: Final = 16 << 20
"""Budget of a process that doesn't know its VM's memory."""

MEMORY_SHARE: Final = 8
"""A process's memory, divided by its budget.

Bytes are held twice for a moment while a body is joined and decoded, and
objects take several times the bytes of the head that they are read from.
"""

MIN_HELD_S: Final = 1.0
"""Time, in seconds, that an incomplete request has before others may
displace it."""


class Claim(msgspec.Struct, frozen=True):
    """The decision on a claim."""

    is_granted: bool
    """Whether the holder may hold the bytes that it claimed."""
    displaced: tuple[HolderId, ...] = ()
    """Holders that give way; only their complete requests still count."""


class _Holding(msgspec.Struct):
    """What one holder has been granted."""

    size: int
    complete_size: int
    """Bytes of whole requests, which are never displaced."""
    begun_at: float

    @property
    def incomplete_size(self) -> int:
        """Bytes that may be displaced."""
        return self.size - self.complete_size


class RequestBudget:
    """Grants bytes to connections up to a total.

    :param total_bytes: the total. A single holder may exceed it while
        nobody else holds anything.
    """

    def __init__(self, total_bytes: int) -> None:
        self._total_bytes = total_bytes
        self._used_bytes = 0
        self._holdings: dict[HolderId, _Holding] = {}

    @property
    def total_bytes(self) -> int:
        """The bytes that may be held in all."""
        return self._total_bytes

    @property
    def used_bytes(self) -> int:
        """The bytes that are held."""
        return self._used_bytes

    def claim(
        self,
        holder: HolderId,
        size: int,
        now: float,
        *,
        complete_size: int,
        alone_bytes: int | None = None,
    ) -> Claim:
        """Set the bytes that a holder holds, if there is room for them.

        :param holder: the holder.
        :param size: all of its bytes, the earlier ones included.
        :param now: monotonic time.
        :param complete_size: those of them that belong to whole requests.
        :param alone_bytes: the most that a holder may hold beyond the total
            while nobody else holds anything; none for any size.
        :returns: the decision. Without a grant, the holder's former bytes
            stay counted.
        """
        holding = self._holdings.get(holder)
        former = 0 if holding is None else holding.size
        displaced: tuple[HolderId, ...] = ()
        excess = self._used_bytes - former + size - self._total_bytes
        if excess > 0 and size > former:
            begun_at = now if holding is None else holding.begun_at
            incomplete_size = size - complete_size
            found = self._find_displaced(
                holder,
                excess,
                now,
                (incomplete_size, begun_at) if incomplete_size else None,
                may_exceed=alone_bytes is None or size <= alone_bytes,
            )
            if found is None:
                return Claim(is_granted=False)
            displaced = found
            for each in displaced:
                self._displace(each)
        self._used_bytes += size - former
        if holding is None:
            self._holdings[holder] = _Holding(size, complete_size, now)
        else:
            if not holding.incomplete_size and size > complete_size:
                holding.begun_at = now
            holding.size = size
            holding.complete_size = complete_size
        return Claim(is_granted=True, displaced=displaced)

    def release(self, holder: HolderId) -> None:
        """Count nothing for a holder any longer."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._used_bytes -= holding.size

    def _displace(self, holder: HolderId) -> None:
        """Count only the complete requests of a holder any longer."""
        holding = self._holdings[holder]
        if holding.complete_size:
            self._used_bytes -= holding.incomplete_size
            holding.size = holding.complete_size
        else:
            self.release(holder)

    def _find_displaced(
        self,
        claimant: HolderId,
        excess: int,
        now: float,
        incomplete: tuple[int, float] | None,
        *,
        may_exceed: bool,
    ) -> tuple[HolderId, ...] | None:
        """Return the holders that give way to a claim.

        :param claimant: who claims.
        :param excess: the bytes that are missing.
        :param now: monotonic time.
        :param incomplete: size and begin of what the claimant holds
            incomplete; none if all is complete.
        :param may_exceed: whether the claimant may exceed the total alone.
        :returns: the holders; none if the claim has to be refused.
        """
        others = [
            (each.incomplete_size * (now - each.begun_at), holder, each)
            for holder, each in self._holdings.items()
            if holder != claimant and each.incomplete_size
        ]
        if incomplete is not None:
            size, begun_at = incomplete
            weight = size * (now - begun_at)
            others = [
                other
                for other in others
                if other[0] > weight and now - other[2].begun_at >= MIN_HELD_S
            ]
        others.sort(key=lambda other: other[:2], reverse=True)
        found = []
        for _, holder, holding in others:
            if excess <= 0:
                break
            found.append(holder)
            excess -= holding.incomplete_size
        if excess <= 0:
            return tuple(found)
        is_alone = may_exceed and all(
            holder == claimant
            or (holder in found and not holding.complete_size)
            for holder, holding in self._holdings.items()
        )
        return tuple(found) if is_alone else None


def budget_bytes(memory_mb: int | None) -> int:
    """Return the budget of a process.

    :param memory_mb: the memory of its VM in MB; none if it is not known.
    """
    if memory_mb is None:
        return DEFAULT_BUDGET_BYTES
    return (memory_mb << 20) // MEMORY_SHARE
