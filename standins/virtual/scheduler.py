"""Virtual clock and event queue of the simulation.

Virtual time is in seconds and begins at 0. It advances only from one
scheduled call to the next, so a run depends on its seed alone.
"""

from __future__ import annotations

import heapq
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Scheduler:
    """Runs calls by virtual time; those of equal time as scheduled."""

    def __init__(self) -> None:
        self._now = 0.0
        self._sequence = 0
        self._heap: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []

    @property
    def now(self) -> float:
        """The current virtual time in seconds."""
        return self._now

    def call_at(
        self, time: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a call.

        :param time: the virtual time of the call; if it has passed, the
            call runs at the current time.
        :param call: the function to call.
        :param args: its arguments.
        """
        self._sequence += 1
        entry = (max(time, self._now), self._sequence, call, args)
        heapq.heappush(self._heap, entry)

    def call_later(
        self, delay: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a call after a delay in seconds.

        :param delay: the delay.
        :param call: the function to call.
        :param args: its arguments.
        """
        self.call_at(self._now + delay, call, *args)

    def run_until(self, end: float) -> None:
        """Run all calls due by a virtual time, and set the clock to it."""
        while self._heap and self._heap[0][0] <= end:
            self._now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self._now = end
