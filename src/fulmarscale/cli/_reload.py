"""Reads a settings file again when it changes."""

from __future__ import annotations

import asyncio
import signal
from typing import Final
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.settings import BaseSettings
from fulmarscale.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from fulmarscale.logs import EventLog

LOOK_S: Final = 2.0
"""Time between looks at the file: it can change without a signal."""

Settings = TypeVar("Settings", bound=BaseSettings)


class SettingsWatcher(Generic[Settings]):
    """Tells of changed settings, on SIGHUP or as the file changes."""

    def __init__(
        self,
        path: Path,
        known: Settings,
        apply: Callable[[Settings], None],
        log: EventLog,
    ) -> None:
        self._path = path
        self._known = known
        self._apply = apply
        self._log = log
        self._asked = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to watch; from now on SIGHUP ends no process."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._asked.set)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop watching."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def look(self) -> None:
        """Read the file and apply what has changed."""
        try:
            settings = load_settings(self._path, type(self._known))
        except FulmarError as error:
            # The settings in force stay until the file is sound again.
            self._log.write(Event.SETTINGS_UNREADABLE, detail=error.detail)
            return
        if settings == self._known:
            return
        self._known = settings
        self._log.write(Event.SETTINGS_RELOADED)
        self._apply(settings)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(LOOK_S):
                    await self._asked.wait()
            except TimeoutError:
                pass
            self._asked.clear()
            self.look()
