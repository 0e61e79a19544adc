"""Reloading of a settings file while the program runs."""

from __future__ import annotations

import asyncio
import signal
from typing import Final
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from fulmarscale.background import BackgroundTask
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.settings import BaseSettings
from fulmarscale.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from fulmarscale.logs import EventLog

POLL_INTERVAL_S: Final = 2.0
"""Interval at which the file is read, as it can change without a signal."""

Settings = TypeVar("Settings", bound=BaseSettings)


class SettingsWatcher(Generic[Settings]):
    """Calls a function with new settings when the file changes.

    Reads the file on SIGHUP and every POLL_INTERVAL_S.
    """

    def __init__(
        self,
        path: Path,
        current: Settings,
        apply: Callable[[Settings], None],
        log: EventLog,
    ) -> None:
        self._path = path
        self._current = current
        self._apply = apply
        self._log = log
        self._reload_requested = asyncio.Event()
        self._task = BackgroundTask(self._run, log)

    def start(self) -> None:
        """Start watching; SIGHUP no longer ends the process."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        self._task.start()

    async def close(self) -> None:
        """Stop watching."""
        await self._task.close()

    def reload(self) -> None:
        """Read the file and apply the settings if they have changed."""
        try:
            settings = load_settings(self._path, type(self._current))
        except FulmarError as error:
            # The current settings stay in force until the file is valid.
            self._log.write(Event.SETTINGS_UNREADABLE, detail=error.detail)
            return
        if settings == self._current:
            return
        self._current = settings
        self._log.write(Event.SETTINGS_RELOADED)
        self._apply(settings)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self.reload()
