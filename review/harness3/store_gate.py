"""A proxy between one machine and the store, which may disturb it.

It resets the machine's connections, loses the answer to one write, which the
store then carries out late, or tells when the store has carried out a write,
before the machine gets the answer.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from standins.ports import PORTS

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = "127.0.0.1"
WRITE = b"POST /api/rows-tx "
JOB_TABLE = b'"table":"jobs"'


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
        self._late_s: float | None = None
        """How late the next write is carried out; none: at once."""
        self._after_write: Callable[[], None] | None = None
        """Called once, when the next write of a job is carried out."""
        self._late_writes: set[asyncio.Task[None]] = set()

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
        for task in self._late_writes:
            task.cancel()
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

    def lose_next_write(self, late_s: float) -> None:
        """Lose the answer to the next write, and carry it out late.

        :param late_s: how late, in seconds.
        """
        self._late_s = late_s

    def after_next_job_write(self, callback: Callable[[], None]) -> None:
        """Call a function when the next write of a job is carried out.

        The answer is not forwarded.

        :param callback: the function.
        """
        self._after_write = callback

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
                self._copy_requests(reader, store_writer),
                _copy(store_reader, writer),
            )
        finally:
            self._writers -= pair

    async def _copy_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward requests, each of which arrives as a whole."""
        with suppress(OSError):
            while data := await reader.read(65536):
                if self._late_s is not None and data.startswith(WRITE):
                    task = asyncio.create_task(
                        self._write_late(data, self._late_s)
                    )
                    self._late_writes.add(task)
                    self._late_s = None
                    await _discard(reader)
                    break
                if (
                    self._after_write is not None
                    and data.startswith(WRITE)
                    and JOB_TABLE in data
                ):
                    callback, self._after_write = self._after_write, None
                    await self._write_late(data, 0.0)
                    callback()
                    await _discard(reader)
                    break
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _write_late(self, request: bytes, late_s: float) -> None:
        await asyncio.sleep(late_s)
        host, _, port = self._store_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        await reader.read(65536)
        writer.close()


async def _discard(reader: asyncio.StreamReader) -> None:
    """Deliver nothing more on a connection that has lost an answer."""
    while await reader.read(65536):
        pass


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()
