"""A proxy between one machine and the store, which may turn it away."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from standins.ports import PORTS

HOST = "127.0.0.1"


class StoreGate:
    """Forwards connections to the store, or resets all of them.

    :param store_address: IP:port of the store.
    """

    def __init__(self, store_address: str) -> None:
        self._store_address = store_address
        self._port = PORTS.pick()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_closed = False

    @property
    def address(self) -> str:
        """IP:port at which the machine reaches the store."""
        return f"{HOST}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._forward, HOST, self._port
        )

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.turn_away()
        if self._server is not None:
            self._server.close()

    def turn_away(self) -> None:
        """Reset all connections, and new ones at once."""
        self._is_closed = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def admit(self) -> None:
        """Forward connections again."""
        self._is_closed = False

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_closed:
            writer.transport.abort()
            return
        host, _, port = self._store_address.partition(":")
        store_reader, store_writer = await asyncio.open_connection(
            host, int(port)
        )
        pair = {writer, store_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                _copy(reader, store_writer), _copy(store_reader, writer)
            )
        finally:
            self._writers -= pair


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()
