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
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.background import BackgroundTasks
from fulmarscale.errors import InvariantError
from fulmarscale.events import Event
from fulmarscale.runs.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.logs import EventLog


SLOW_DECISION_S: Final = 0.05
"""Duration of a decision from which it is logged, in seconds.

It is as long as the interval between ticks of a busy process.
"""

SLOW_DECISION_LOG_INTERVAL_S: Final = 1.0
"""Shortest interval between log lines about slow decisions, in seconds."""


class SlowDecisions:
    """Logs slow decisions, at most one line a second.

    :param log: the log.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._logged_at = float("-inf")
        self._count = 0
        """Slow decisions since the last line."""
        self._longest_s = 0.0
        """The longest of them, in seconds."""
        self._slowest = ""
        """The name of its method."""

    def record(self, name: str, started_at: float, ended_at: float) -> None:
        """Record a decision, and log the slow ones.

        :param name: the name of the method.
        :param started_at: when it was called, by the process's time.
        :param ended_at: when it returned.
        """
        took_s = ended_at - started_at
        if took_s < SLOW_DECISION_S:
            return
        self._count += 1
        if took_s > self._longest_s:
            self._longest_s = took_s
            self._slowest = name
        if ended_at - self._logged_at < SLOW_DECISION_LOG_INTERVAL_S:
            return
        self._log.write(
            Event.DECISION_SLOW,
            slowest=self._slowest,
            took_s=round(self._longest_s, 3),
            count=self._count,
        )
        self._logged_at = ended_at
        self._count = 0
        self._longest_s = 0.0


class Driver(ABC):
    """Calls decision logic and carries out its actions."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks = BackgroundTasks(log)
        self._failed = asyncio.Event()
        self._slow_decisions = SlowDecisions(log)

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
        started_at = boottime_s()
        try:
            actions = decide(*inputs, started_at)
        except InvariantError as error:
            self._log.write_error(Event.INVARIANT_BROKEN, error)
            self._failed.set()
            return
        except Exception as error:
            # The state after an incomplete decision may be inconsistent.
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
            self._failed.set()
            raise
        self._slow_decisions.record(
            getattr(decide, "__name__", ""), started_at, boottime_s()
        )
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
