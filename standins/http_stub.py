"""A scripted HTTP server, for tests of clients of the platform."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class StubRequest(NamedTuple):
    """A request that came."""

    method: str
    target: str
    """Path and query."""
    headers: dict[str, str]
    body: bytes


class StubAnswer(NamedTuple):
    """What is answered."""

    status: int
    body: bytes = b"{}"
    closes: bool = False
    """Whether the connection ends after the answer."""


class HttpStub:
    """Serves what a script says; no answer where it gives none."""

    def __init__(
        self, script: Callable[[StubRequest], StubAnswer | None]
    ) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self.requests: list[StubRequest] = []
        self.connections = 0

    @property
    def address(self) -> str:
        """IP:port of the server."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.split(": ", 1) for line in lines)
        headers = {name.lower(): value for name, value in pairs}
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size)
        request = StubRequest(method, target, headers, body)
        self.requests.append(request)
        answer = self._script(request)
        if answer is None:
            await reader.read()
            return False
        writer.write(
            f"HTTP/1.1 {answer.status} X\r\n"
            f"Content-Length: {len(answer.body)}\r\n\r\n".encode()
            + answer.body
        )
        await writer.drain()
        return not answer.closes
