"""Background tasks that survive unexpected exceptions.

A task whose exception nobody awaits ends unnoticed, while its process goes on
with what it knew last. These tasks log the exception and run again.
"""

from __future__ import annotations

import asyncio
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from fulmarscale.logs import EventLog

RESTART_DELAY_S: Final = 0.5
"""Delay after which work that has failed starts again."""


class BackgroundTask:
    """Runs work in the background, and again whenever it fails.

    :param work: makes the coroutine; called again after each failure.
    :param log: gets a line for each failure.
    """

    def __init__(
        self, work: Callable[[], Coroutine[Any, Any, None]], log: EventLog
    ) -> None:
        self._work = work
        self._log = log
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the work."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the work and wait until it has ended."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            work = asyncio.ensure_future(self._work())
            try:
                await asyncio.wait((work,))
            finally:
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
            error = None if work.cancelled() else work.exception()
            if error is None:
                return
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
            await asyncio.sleep(RESTART_DELAY_S)


class BackgroundTasks:
    """The background tasks of a process.

    :param log: gets a line for each exception.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._once: set[asyncio.Task[None]] = set()
        self._forever: list[BackgroundTask] = []

    def run_once(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine; an exception is logged."""
        task = asyncio.create_task(work)
        self._once.add(task)
        task.add_done_callback(self._finish)

    def run_forever(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a coroutine until `close`, again whenever it fails.

        :param work: makes the coroutine.
        """
        task = BackgroundTask(work, self._log)
        self._forever.append(task)
        task.start()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for forever in self._forever:
            await forever.close()
        for task in list(self._once):
            task.cancel()
        await asyncio.gather(*self._once, return_exceptions=True)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._once.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
