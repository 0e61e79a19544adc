"""Scripted HTTP server for tests of HTTP clients."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from inspect import isawaitable
from typing import NamedTuple


class StubRequest(NamedTuple):
    """A received request."""

    method: str
    target: str
    """Path and query, as in the request line."""
    headers: dict[str, str]
    """Values by name in lower case."""
    body: bytes


class StubResponse(NamedTuple):
    """The response to a request."""

    status: int
    body: bytes = b"{}"
    closes_connection: bool = False
    """Whether the server closes the connection afterwards."""


Responder = Callable[
    [StubRequest], StubResponse | Awaitable[StubResponse | None] | None
]
"""Returns the response to a request, which may be awaitable."""


class HttpStub:
    """HTTP/1.1 server whose responses come from a function.

    :param respond: returns the response to a request; none to leave it
        without a response until the client closes the connection.
    """

    def __init__(self, respond: Responder) -> None:
        self._respond = respond
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()
        """The task of each open connection."""
        self.requests: list[StubRequest] = []
        """All received requests, in order."""
        self.connections = 0
        """Number of accepted connections."""

    @property
    def address(self) -> str:
        """Address of the server, as IP:port."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a port of loopback; by default, on a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    def abort_connections(self) -> None:
        """Close all connections at once, as a process that ends does."""
        for handler in self._handlers:
            handler.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        handler = asyncio.current_task()
        assert handler is not None
        self._handlers.add(handler)
        try:
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while await self._serve_request(reader, writer):
                    pass
        finally:
            self._handlers.discard(handler)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        request_line, *header_lines = head.strip().split("\r\n")
        method, target, _ = request_line.split(" ")
        fields = (line.split(": ", 1) for line in header_lines)
        headers = {name.lower(): value for name, value in fields}
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size)
        request = StubRequest(method, target, headers, body)
        self.requests.append(request)
        response = self._respond(request)
        if isawaitable(response):
            response = await response
        if response is None:
            await reader.read()
            return False
        writer.write(
            f"HTTP/1.1 {response.status} X\r\n"
            f"Content-Length: {len(response.body)}\r\n\r\n".encode()
            + response.body
        )
        await writer.drain()
        return not response.closes_connection
