"""Hands events to decision code and carries out what it decides."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from contextlib import suppress
from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.errors import InvariantError
from fulmarscale.events import Event
from fulmarscale.runs.clock import steady_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from fulmarscale.logs import EventLog


class Driver(ABC):
    """The base of the processes around decision code."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed = asyncio.Event()

    @property
    def failed(self) -> asyncio.Event:
        """Set when a decision failed: the process is to end."""
        return self._failed

    @abstractmethod
    def _perform(self, actions: list[Any]) -> None:
        """Carry out actions in order."""

    def _decide(self, decide: Callable[..., list[Any]], *inputs: Any) -> None:
        """Hand inputs and the time to the decisions, carry out the result."""
        if self._failed.is_set():
            return
        try:
            actions = decide(*inputs, steady_s())
        except InvariantError as error:
            self._log.write_error(Event.INVARIANT_BROKEN, error)
            self._failed.set()
            return
        except Exception as error:
            # Decisions that failed half-way can't be trusted any more.
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
            self._failed.set()
            raise
        self._perform(actions)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work until it ends or the process closes."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end_tasks(self) -> None:
        """End all work that was spawned."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class TickingDriver(Driver):
    """A driver that tells its decisions of time only as often as they need."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(log)
        self._tick_at = float("-inf")
        self._tick_sooner = asyncio.Event()

    @abstractmethod
    def _tick_pause_s(self, now: float) -> float:
        """Tell how soon the decisions have to be told that time passed."""

    def _decide(self, decide: Callable[..., list[Any]], *inputs: Any) -> None:
        super()._decide(decide, *inputs)
        now = steady_s()
        if now + self._tick_pause_s(now) < self._tick_at:
            self._tick_sooner.set()

    async def _tick_forever(self, tick: Callable[..., list[Any]]) -> None:
        """Tell the decisions of time until the process closes.

        :param tick: takes the time.
        """
        while True:
            self._tick_at = float("-inf")
            self._decide(tick)
            now = steady_s()
            pause_s = self._tick_pause_s(now)
            self._tick_at = now + pause_s
            self._tick_sooner.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._tick_sooner.wait()
