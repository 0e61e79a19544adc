"""Virtual time: events in order, seconds from zero."""

from __future__ import annotations

import heapq
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Scheduler:
    """Runs calls in the order of their virtual times."""

    def __init__(self) -> None:
        self._now = 0.0
        self._number = 0
        self._heap: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []

    @property
    def now(self) -> float:
        """The present virtual time in seconds."""
        return self._now

    def at(self, time: float, call: Callable[..., None], *args: Any) -> None:
        """Call something at a time, or now if that has passed."""
        self._number += 1
        entry = (max(time, self._now), self._number, call, args)
        heapq.heappush(self._heap, entry)

    def after(
        self, delay: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Call something after a delay."""
        self.at(self._now + delay, call, *args)

    def run_until(self, end: float) -> None:
        """Run all calls up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self._now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self._now = end
