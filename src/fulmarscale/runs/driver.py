"""Base classes of processes around decision logic without input or output.

The decision logic gets inputs and the time and returns actions. A driver
calls it and carries out the actions.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from contextlib import suppress
from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.background import BackgroundTasks
from fulmarscale.errors import InvariantError
from fulmarscale.events import Event
from fulmarscale.runs.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.logs import EventLog


class Driver(ABC):
    """Calls decision logic and carries out its actions."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks = BackgroundTasks(log)
        self._failed = asyncio.Event()

    @property
    def failed(self) -> asyncio.Event:
        """Set when the decision logic has failed and the process must exit."""
        return self._failed

    @abstractmethod
    def _perform(self, actions: list[Any]) -> None:
        """Carry out actions in order."""

    def _decide(self, decide: Callable[..., list[Any]], *inputs: Any) -> None:
        """Call a method of the decision logic and carry out its actions.

        Does nothing once the decision logic has failed.

        :param decide: the method; gets the inputs and the time.
        :param inputs: its arguments but for the time.
        """
        if self._failed.is_set():
            return
        try:
            actions = decide(*inputs, boottime_s())
        except InvariantError as error:
            self._log.write_error(Event.INVARIANT_BROKEN, error)
            self._failed.set()
            return
        except Exception as error:
            # The state after an incomplete decision may be inconsistent.
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
            self._failed.set()
            raise
        self._perform(actions)


class TickingDriver(Driver):
    """A driver that ticks at the times that its decision logic requests."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(log)
        self._tick_at = float("-inf")
        """When the next tick is due."""
        self._earlier_tick = asyncio.Event()
        """Set when the next tick is needed earlier than scheduled."""

    @abstractmethod
    def _tick_pause_s(self, now: float) -> float:
        """Return the time until the next tick is due, in seconds."""

    def _decide(self, decide: Callable[..., list[Any]], *inputs: Any) -> None:
        super()._decide(decide, *inputs)
        now = boottime_s()
        if now + self._tick_pause_s(now) < self._tick_at:
            self._earlier_tick.set()

    async def _tick_forever(self, tick: Callable[..., list[Any]]) -> None:
        """Call the decision logic periodically until the driver is closed.

        :param tick: its method for periodic work; gets the time.
        """
        while True:
            self._tick_at = float("-inf")
            self._decide(tick)
            now = boottime_s()
            pause_s = self._tick_pause_s(now)
            self._tick_at = now + pause_s
            self._earlier_tick.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._earlier_tick.wait()
