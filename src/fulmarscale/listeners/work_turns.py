"""Turns in which connections work through what their clients have sent.

This module does no I/O. It decides how much work a connection does at once
and who goes on next, so that no client decides how long others wait to be
read. Work is counted in units, not in time: what a client may make the
process do doesn't depend on the machine.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

FREE_UNITS: Final = 32
"""Work on each piece that arrives that needs no turn."""

TURN_UNITS: Final = 256
"""The most work of a connection in one turn."""

PASS_UNITS: Final = 4_096
"""The most work in turns of all connections between two reads of sockets."""


class TurnTaker(ABC):
    """A connection that works through what it has received in turns."""

    @abstractmethod
    def take_turn(self) -> None:
        """Go on with what was held back."""


class WorkTurns:
    """Shares the work of one event loop among connections.

    :param call_soon: runs a function after the sockets were read once more.
    """

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object]
    ) -> None:
        self._call_soon = call_soon
        self._left_units = PASS_UNITS
        self._waiting: dict[TurnTaker, None] = {}
        """Those that wait for a turn, the first one first."""
        self._is_scheduled = False
        self._deferred = 0

    @property
    def deferred(self) -> int:
        """How often a connection had to wait for a turn."""
        return self._deferred

    @property
    def waiting(self) -> int:
        """The number of connections that wait for a turn."""
        return len(self._waiting)

    def grant(self) -> int:
        """Return the units of work that a connection may do at once."""
        self._schedule()
        units = min(TURN_UNITS, self._left_units)
        self._left_units -= units
        return units

    def defer(self, taker: TurnTaker) -> None:
        """Let a connection go on after those that wait already."""
        self._deferred += 1
        self._waiting[taker] = None
        self._schedule()

    def discard(self, taker: TurnTaker) -> None:
        """Give a connection no turn any longer."""
        self._waiting.pop(taker, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_pass)

    def _run_pass(self) -> None:
        """Give turns to those that wait, as far as the work of a pass goes."""
        self._is_scheduled = False
        self._left_units = PASS_UNITS
        try:
            while self._waiting and self._left_units > 0:
                taker = next(iter(self._waiting))
                del self._waiting[taker]
                self._left_units -= FREE_UNITS
                taker.take_turn()
        finally:
            self._left_units = max(0, self._left_units)
            if self._waiting:
                self._schedule()
