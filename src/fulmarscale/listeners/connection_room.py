"""Which connections of a listener make room for new ones.

This module does no I/O.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import deque
from operator import itemgetter
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RANKING_S: Final = 0.25
"""How long a ranking of all connections is used."""

RANKED_SHARE: Final = 8
"""A ranking that is used up is made anew before that only if at least this
part of the connections has made room."""


class Rank(NamedTuple):
    """A place in the order in which connections make room."""

    group: int
    """How much use the connection is of; the lowest makes room first."""
    since: float
    """Since when, by the event loop's time; the earliest makes room first."""


class RankedConnection(ABC):
    """A connection that may make room for others."""

    @property
    @abstractmethod
    def rank(self) -> Rank | None:
        """Its present rank; none if it makes no room."""


class ConnectionRoom:
    """Finds the connections that make room, for one listener.

    A ranking serves many new connections, so that their number doesn't decide
    how often all connections are compared.
    """

    def __init__(self) -> None:
        self._ranking: deque[tuple[Rank, RankedConnection]] = deque()
        self._compared = 0
        """Connections that were compared for this ranking."""
        self._found = 0
        """Connections that this ranking has found."""
        self._ranked_at = float("-inf")

    def find_least(
        self, connections: Iterable[RankedConnection], now: float
    ) -> RankedConnection | None:
        """Return the connection that is of the least use.

        :param connections: all that may make room.
        :param now: the event loop's time.
        :returns: the connection; none if there is none at present.
        """
        found = self._take(now)
        is_used_up = self._found * RANKED_SHARE >= self._compared
        if found is None and (is_used_up or self._is_old(now)):
            self._rank(connections, now)
            found = self._take(now)
        return found

    def _is_old(self, now: float) -> bool:
        return now - self._ranked_at >= RANKING_S

    def _take(self, now: float) -> RankedConnection | None:
        """Return the next one of the ranking that is still of as little use.

        :returns: none if the ranking is used up or old.
        """
        if self._is_old(now):
            self._ranking.clear()
        while self._ranking:
            former, connection = self._ranking.popleft()
            present = connection.rank
            if present is not None and present.group <= former.group:
                self._found += 1
                return connection
        return None

    def _rank(
        self, connections: Iterable[RankedConnection], now: float
    ) -> None:
        compared = [(each.rank, each) for each in connections]
        ranked = [(rank, each) for rank, each in compared if rank is not None]
        ranked.sort(key=itemgetter(0))
        self._ranking = deque(ranked)
        self._compared = len(compared)
        self._found = 0
        self._ranked_at = now
