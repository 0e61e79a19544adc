"""A server's connection without a socket."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from uvicorn.server import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from uvicorn import Config


class FakeTransport(asyncio.Transport):
    """Keeps what is written, and reads nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self._is_closed = False

    def is_closing(self) -> bool:
        return self._is_closed

    def write(self, data: Any) -> None:
        self.written += data

    def close(self) -> None:
        self._is_closed = True

    abort = close

    def can_write_eof(self) -> bool:
        return False

    def set_write_buffer_limits(
        self, high: Any = None, low: Any = None
    ) -> None:
        """Ignore the limits."""

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        """Ignore it."""

    def resume_reading(self) -> None:
        """Ignore it."""


async def exchange_bytes(
    config: Config, make_connection: Any, pieces: Iterable[bytes], turns: int
) -> bytes:
    """Return all that a connection answers.

    :param config: the configuration of the server.
    :param make_connection: makes the protocol.
    :param pieces: what the client sends.
    :param turns: turns of the event loop between two pieces.
    """
    transport = FakeTransport()
    connection = make_connection(
        config=config, server_state=ServerState(), app_state={}
    )
    connection.connection_made(transport)
    for piece in pieces:
        if piece and not transport.is_closing():
            connection.data_received(piece)
        for _ in range(turns):
            await asyncio.sleep(0)
    for _ in range(200):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return transport.written
