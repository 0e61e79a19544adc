"""HTTP servers embedded in the programs, based on uvicorn."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from functools import partial
import socket
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import uvicorn

from fulmarscale.listeners.bounded_connection import BoundedConnection
from fulmarscale.listeners.connection_room import ConnectionRoom
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_limits import RequestLimits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

LISTEN_QUEUE: Final = 2_048
"""Connections that may wait to be accepted."""

ACCEPTS_AT_ONCE: Final = 128
"""Connections that are accepted until others are read."""

KEEP_ALIVE_S: Final = 75
"""How long an idle connection of a client stays open."""

OPERATOR_CONNECTIONS: Final = 128
"""The most concurrent connections of a listener that isn't for callers.

One client each uses them, at most every second.
"""

MAX_BODY_BYTES: Final = 1 << 20
"""Limit of a body on a listener that has no limit of its own."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the program.

    It waits for an event to shut down. Uvicorn's own main loop polls a flag
    ten times a second; it also updates the date header, which is disabled
    here.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._shutdown_requested = asyncio.Event()

    def request_shutdown(self) -> None:
        """Start a graceful shutdown: stop listening, finish open requests."""
        self.should_exit = True
        self._shutdown_requested.set()

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start to listen."""
        await super().startup(sockets)
        for server in self.servers:
            for each in server.sockets:
                _listen(each.fileno())

    async def main_loop(self) -> None:
        """Wait until a shutdown is requested."""
        await self._shutdown_requested.wait()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class AsgiServer:
    """Serves an ASGI application on one address.

    :param app: the ASGI 3 application; it gets no lifespan events.
    :param host: the IP address to listen on.
    :param port: the port to listen on.
    :param connections: the limit of concurrent connections, above which
        requests are answered with 503. Before that, those that are idle are
        closed.
    :param admission: decides on the bytes of requests, for all listeners of
        the process; none for one of its own.
    :param max_body_bytes: returns the limit of a body.
    """

    def __init__(
        self,
        app: Any,
        host: str,
        port: int,
        connections: int = OPERATOR_CONNECTIONS,
        admission: RequestAdmission | None = None,
        max_body_bytes: Callable[[], int] = lambda: MAX_BODY_BYTES,
    ) -> None:
        self._server = EmbeddedServer(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                loop="asyncio",
                http=make_protocol(
                    admission or RequestAdmission(RequestLimits()),
                    max_body_bytes,
                ),
                ws="none",
                interface="asgi3",
                lifespan="off",
                access_log=False,
                log_config=None,
                limit_concurrency=connections,
                timeout_keep_alive=KEEP_ALIVE_S,
                backlog=ACCEPTS_AT_ONCE,
                server_header=False,
                date_header=False,
            )
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start serving in a task of the running event loop."""
        self._task = asyncio.create_task(self._server.serve())

    def drain(self) -> None:
        """Stop listening, close idle connections, finish open requests."""
        self._server.request_shutdown()

    async def close(self) -> None:
        """Drain and wait until all requests are finished."""
        self.drain()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)


def _listen(descriptor: int) -> None:
    """Set the queue of a listening socket.

    asyncio accepts as many connections at once as it lets wait.
    """
    listener = socket.socket(fileno=descriptor)
    try:
        listener.listen(LISTEN_QUEUE)
    finally:
        # The event loop goes on to use the descriptor.
        listener.detach()


def make_protocol(
    admission: RequestAdmission, max_body_bytes: Callable[[], int]
) -> Any:
    """Return the protocol of a server, for uvicorn's configuration.

    :param admission: decides on the bytes of requests.
    :param max_body_bytes: returns the limit of a body.
    """
    return partial(
        BoundedConnection,
        admission=admission,
        room=ConnectionRoom(),
        max_body_bytes=max_body_bytes,
    )
