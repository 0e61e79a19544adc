"""Proxy of TCP connections that disturbs them, on loopback."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import socket
import struct
from typing import Final

from standins.ports import PORTS

CHUNK_BYTES: Final = 1 << 16

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a closed connection is reset."""


class Link:
    """Forwards the connections to an address, and their faults.

    :param target: the address, as IP:port.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f"127.0.0.1:{PORTS.pick()}"
        self.delay_s = 0.0
        """How long each piece of data is held, in seconds."""
        self.is_cut = False
        """Whether data is lost, with its connection unusable from then on."""
        self.pieces = 0
        """Number of pieces of data that were forwarded."""
        self.forwarded_bytes = 0
        """Their length."""
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the link's own address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def hold(self) -> None:
        """Hold all data until it is released."""
        self._is_open.clear()

    def release(self) -> None:
        """Deliver the data that is held."""
        self._is_open.set()

    def reset(self) -> None:
        """Reset all connections on both sides."""
        for writer in self._writers:
            connection = writer.get_extra_info("socket")
            with suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, far_writer))
                group.create_task(self._forward(far_reader, writer))
        except* OSError:
            pass
        finally:
            self._writers -= pair
            for each in pair:
                each.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_lost = False
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._is_open.wait()
            is_lost = is_lost or self.is_cut
            if not is_lost:
                self.pieces += 1
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        if not is_lost:
            writer.close()
