"""Decides which entry a target's free capacity is offered to first.

Used by the run guard for the users' platform. Without an offer, the nearest
entry would always be the first to claim capacity that many wait for.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.runs.messages import ClassDemand

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.agent.entry_session import EntrySession

EXCLUSIVE_OFFER_S: Final = 0.012
"""How long free capacity is offered to one entry before the next.

A round trip between data centres takes 2 ms.
"""

OFFER_COOLDOWN_S: Final = 0.05
"""Pause before an entry that did not use an offer gets another."""

FLOOR_INTERVAL: Final = 8
"""Every such offer ignores priorities, so that no class is starved."""


class OfferOrder(ABC):
    """An order of the entries that wait for a target's capacity."""

    @abstractmethod
    def choose(self, waiting: list[EntrySession]) -> EntrySession:
        """Return the entry that free capacity is offered to next.

        :param waiting: the entries that may get an offer, at least one.
        """


class LatestStartOffers(OfferOrder):
    """The entry whose waiting job has to start soonest goes first."""

    def choose(self, waiting: list[EntrySession]) -> EntrySession:
        """Return the entry that free capacity is offered to next."""
        return min(
            waiting,
            key=lambda session: (session.latest_start_at, session.entry),
        )


class PriorityOffers(OfferOrder):
    """The entry with the most urgent priority class goes first.

    Entries of the same class go by their latest start. Each FLOOR_INTERVAL-th
    offer goes to the least urgent class that waits: it is slowed by more
    urgent demand, but not starved.
    """

    def __init__(self) -> None:
        self._offers = 0
        """Offers made while more than one class waited."""

    def choose(self, waiting: list[EntrySession]) -> EntrySession:
        """Return the entry that free capacity is offered to next."""
        priorities = {session.priority for session in waiting}
        priority = min(priorities)
        if len(priorities) > 1:
            self._offers += 1
            if self._offers % FLOOR_INTERVAL == 0:
                priority = max(priorities)
        return LatestStartOffers().choose(
            [session for session in waiting if session.priority == priority]
        )


class CapacityOffers:
    """Offers a target's free capacity to one entry at a time.

    An offer that is not used in time passes to the next entry.
    """

    def __init__(self) -> None:
        self._by_latest_start = LatestStartOffers()
        self._by_priority = PriorityOffers()
        self._preferred: EntrySession | None = None

    @property
    def preferred(self) -> EntrySession | None:
        """The entry that free capacity is offered to; none if to all."""
        return self._preferred

    def update(
        self, sessions: Iterable[EntrySession], now: float
    ) -> EntrySession | None:
        """Choose the entry that free capacity is offered to.

        :param sessions: all open streams.
        :param now: the agent's time.
        :returns: none if all entries may use the capacity.
        """
        self._preferred = self._choose(sessions, now)
        return self._preferred

    def _choose(
        self, sessions: Iterable[EntrySession], now: float
    ) -> EntrySession | None:
        waiting = [session for session in sessions if session.backlog > 0]
        if len(waiting) < 2:
            return None
        for session in waiting:
            if now - session.offered_at <= EXCLUSIVE_OFFER_S:
                return session
        eligible = [
            session
            for session in waiting
            if now - session.offered_at > OFFER_COOLDOWN_S
        ]
        if not eligible:
            return None
        has_priorities = any(session.demands for session in waiting)
        order = self._by_priority if has_priorities else self._by_latest_start
        chosen = order.choose(eligible)
        chosen.offered_at = now
        return chosen


def sum_demands(sessions: Iterable[EntrySession]) -> tuple[ClassDemand, ...]:
    """Return the demand that waits at entries, by priority class.

    :param sessions: the streams of these entries.
    :returns: the most urgent class first.
    """
    by_priority: dict[int, int] = {}
    for session in sessions:
        for demand in session.demands:
            former = by_priority.get(demand.priority, 0)
            by_priority[demand.priority] = former + demand.millicores
    return tuple(
        ClassDemand(priority, by_priority[priority])
        for priority in sorted(by_priority)
    )
