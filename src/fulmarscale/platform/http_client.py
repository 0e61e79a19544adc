"""Calls over HTTP/1.1 on kept-open connections, cheap enough for thin VMs.

The parser is httptools'. httpx took 1.2 ms of processor time a call where
this takes a sixth; see docs/decisions/0005-http-client.md.
"""

from __future__ import annotations

import asyncio
from typing import Final

import httptools
import msgspec

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode

CONNECT_TIMEOUT_S: Final = 0.3
"""How long a connection may take to open; a lost packet is sent after 1 s."""

LONGEST_BODY_BYTES: Final = 8 << 20
"""Longer answers are refused; the platform's are at most about 1 MB."""


class Answer(msgspec.Struct, frozen=True):
    """An HTTP response."""

    status: int
    """The HTTP status."""
    body: bytes
    """The body."""


class CallError(FulmarError):
    """A call that got no answer."""

    def __init__(self, detail: str, *, is_sent: bool) -> None:
        super().__init__(ResultCode.TARGET_CONNECTION_LOST, detail)
        self._is_sent = is_sent

    @property
    def is_sent(self) -> bool:
        """Whether the receiver may have got any of the request."""
        return self._is_sent


class Connection(asyncio.Protocol):
    """One connection, on which calls follow one another."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[Answer] | None = None
        self._body = bytearray()
        self._is_usable = True

    @property
    def is_usable(self) -> bool:
        """Whether another call may be made."""
        return self._is_usable and self._transport is not None

    @property
    def is_answered(self) -> bool:
        """Whether no response is outstanding."""
        return self._waiter is None

    async def call(self, request: bytes) -> Answer:
        """Send a request and wait for its response.

        :raises CallError: if the connection ends first.
        """
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._waiter

    def close(self) -> None:
        """End the connection, whatever is under way."""
        self._is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call under way."""
        self._fail(f"connection lost: {exc!r}")

    def data_received(self, data: bytes) -> None:
        """Take in part of a response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close()
            self._fail(f"unreadable response: {error!r}")

    def on_body(self, body: bytes) -> None:
        """Take in part of a body."""
        self._body += body
        if len(self._body) > LONGEST_BODY_BYTES:
            self.close()
            self._fail("the response is too long")

    def on_message_complete(self) -> None:
        """Answer the call."""
        answer = Answer(self._parser.get_status_code(), bytes(self._body))
        self._body.clear()
        if not self._parser.should_keep_alive():
            self._is_usable = False
        self._parser = httptools.HttpResponseParser(self)
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    def _fail(self, detail: str) -> None:
        self._is_usable = False
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(CallError(detail, is_sent=True))


class HttpClient:
    """Calls one server."""

    def __init__(
        self,
        address: str,
        most_connections: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[Connection] = []
        self._slots = asyncio.Semaphore(most_connections)

    @property
    def address(self) -> str:
        """IP:port of the server."""
        return self._address

    def move(self, address: str) -> None:
        """Call another address from now on.

        :param address: IP:port.
        """
        if address == self._address:
            return
        self._address = address
        self.close()

    def close(self) -> None:
        """End all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: str = "",
    ) -> Answer:
        """Make a call.

        :param method: the HTTP method.
        :param path: path and query.
        :param body: JSON, or nothing.
        :param timeout_s: how long the call may take in all, in seconds.
        :param headers: further header lines, each with its line end.
        :raises CallError: if no answer came.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\n"
            f"Host: {self._address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{headers}\r\n"
        )
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s), self._slots:
                connection = await self._open()
                answer = await connection.call(head.encode() + body)
        except TimeoutError as error:
            is_sent = connection is not None
            raise CallError("no answer in time", is_sent=is_sent) from error
        finally:
            self._release(connection)
        return answer

    async def _open(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise CallError(repr(error), is_sent=False) from error
        return connection

    def _release(self, connection: Connection | None) -> None:
        if connection is None:
            return
        if connection.is_answered and connection.is_usable:
            self._idle.append(connection)
        else:
            connection.close()
