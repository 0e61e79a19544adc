"""HTTP servers inside the programs, by uvicorn."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

KEEP_ALIVE_S: Final = 75
"""How long an idle connection of a caller is kept."""


class Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the program.

    It waits for its end without looking ten times a second whether to end,
    as uvicorn's own loop does; that loop also keeps the date header, which
    is off.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._is_ending = asyncio.Event()

    def end(self) -> None:
        """Stop listening and finish what is under way."""
        self.should_exit = True
        self._is_ending.set()

    async def main_loop(self) -> None:
        """Wait until the server is to end."""
        await self._is_ending.wait()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


class AppServer:
    """Serves a plain ASGI application on one address."""

    def __init__(
        self, app: Any, host: str, port: int, connections: int | None = None
    ) -> None:
        self._server = Server(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                loop="asyncio",
                http="httptools",
                interface="asgi3",
                lifespan="off",
                access_log=False,
                log_config=None,
                limit_concurrency=connections,
                timeout_keep_alive=KEEP_ALIVE_S,
                server_header=False,
                date_header=False,
            )
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to serve."""
        self._task = asyncio.create_task(self._server.serve())

    def drain(self) -> None:
        """Stop listening, end idle connections, finish what is under way."""
        self._server.end()

    async def close(self) -> None:
        """Drain and wait until all is finished."""
        self.drain()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
