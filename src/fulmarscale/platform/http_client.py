"""HTTP/1.1 client with persistent connections and a low processor cost.

It parses responses with httptools. httpx took 1.2 ms of processor time for a
request, this client takes a sixth of that; entries run on small VMs. See
docs/decisions/0005-http-client.md.
"""

from __future__ import annotations

import asyncio
from typing import Final

import httptools
import msgspec

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.patience import run_with_timeout
from fulmarscale.patience import wait_until_done

CONNECT_TIMEOUT_S: Final = 0.3
"""Timeout for opening a connection.

It expires before TCP retransmits a lost packet, which takes 1 s.
"""

MAX_BODY_BYTES: Final = 8 << 20
"""Limit on a response's body; the platform's are at most about 1 MB."""


class HttpResponse(msgspec.Struct, frozen=True):
    """An HTTP response."""

    status: int
    """The HTTP status."""
    body: bytes
    """The body."""


class RequestError(FulmarError):
    """A request that got no response."""

    def __init__(
        self,
        detail: str,
        *,
        may_be_sent: bool,
        is_timeout: bool = False,
        is_refused: bool = False,
    ) -> None:
        super().__init__(ResultCode.TARGET_CONNECTION_LOST, detail)
        self._may_be_sent = may_be_sent
        self._is_timeout = is_timeout
        self._is_refused = is_refused

    @property
    def may_be_sent(self) -> bool:
        """Whether the server may have received any part of the request."""
        return self._may_be_sent

    @property
    def is_timeout(self) -> bool:
        """Whether the server left the request unanswered."""
        return self._is_timeout

    @property
    def is_refused(self) -> bool:
        """Whether no process listens on the server's port."""
        return self._is_refused


class HttpConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: asyncio.Future[HttpResponse] | None = None
        """Completed with the response; none while no request is in flight."""
        self._body = bytearray()
        self._is_usable = True

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and may carry another request."""
        return self._is_usable and self._transport is not None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return self._pending is None

    async def call(self, request: bytes, deadline_at: float) -> HttpResponse:
        """Send a request and wait for its response.

        A response that arrived in time counts even if the process was stalled
        and reads it after the deadline.

        :param request: the whole request, as it is sent.
        :param deadline_at: when to give up, by the event loop's time.
        :raises RequestError: if the connection fails first.
        :raises TimeoutError: if no response arrives in time.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        pending = self._pending = loop.create_future()
        self._transport.write(request)
        try:
            if not await wait_until_done(pending, deadline_at - loop.time()):
                raise TimeoutError
            return pending.result()
        finally:
            pending.cancel()

    def close(self) -> None:
        """Abort the connection, even with a request in flight."""
        self._is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self._fail(f"connection lost: {exc!r}")

    def data_received(self, data: bytes) -> None:
        """Parse part of a response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close()
            self._fail(f"malformed response: {error!r}")

    def on_body(self, body: bytes) -> None:
        """Append part of a body; fails the request if the body is too long."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self.close()
            self._fail("the response body exceeds the limit")

    def on_message_complete(self) -> None:
        """Complete the request in flight and prepare for the next one."""
        response = HttpResponse(
            self._parser.get_status_code(), bytes(self._body)
        )
        self._body.clear()
        if not self._parser.should_keep_alive():
            self._is_usable = False
        self._parser = httptools.HttpResponseParser(self)
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_result(response)

    def _fail(self, detail: str) -> None:
        self._is_usable = False
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(RequestError(detail, may_be_sent=True))


class HttpClient:
    """Client of one server, with a pool of connections.

    :param address: IP:port of the server.
    :param max_connections: the most connections at a time.
    :param connect_timeout_s: timeout for opening one, in seconds.
    :param distrusts_idle: whether a request without a response closes the
        idle connections, as they may no longer deliver either.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        *,
        distrusts_idle: bool = False,
    ) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._distrusts_idle = distrusts_idle
        self._idle: list[HttpConnection] = []
        self._slots = asyncio.Semaphore(max_connections)

    @property
    def address(self) -> str:
        """IP:port of the server."""
        return self._address

    def set_address(self, address: str) -> None:
        """Send further requests to another address.

        Closes the idle connections to the old address.

        :param address: IP:port.
        """
        if address == self._address:
            return
        self._address = address
        self.close()

    def close(self) -> None:
        """Close all idle connections."""
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
    ) -> HttpResponse:
        """Send a request and return the response.

        :param method: the HTTP method.
        :param path: path and query.
        :param body: JSON, or empty.
        :param timeout_s: total timeout in seconds, including the wait for a
            connection.
        :param headers: additional header lines, each with its line end.
        :returns: the response, whatever its status.
        :raises RequestError: if no response was received.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\n"
            f"Host: {self._address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{headers}\r\n"
        )
        connection: HttpConnection | None = None
        deadline_at = asyncio.get_running_loop().time() + timeout_s
        try:
            async with (
                asyncio.timeout_at(deadline_at) as slot_limit,
                self._slots,
            ):
                slot_limit.reschedule(None)
                connection = await self._acquire(deadline_at)
                request = head.encode() + body
                response = await connection.call(request, deadline_at)
        except TimeoutError as error:
            may_be_sent = connection is not None
            if may_be_sent and self._distrusts_idle:
                self.close()
            raise RequestError(
                "no answer in time",
                may_be_sent=may_be_sent,
                is_timeout=may_be_sent,
            ) from error
        finally:
            self._release(connection)
        return response

    async def _acquire(self, deadline_at: float) -> HttpConnection:
        """Return an idle connection, or open one.

        :param deadline_at: when to give up, by the event loop's time.
        :raises RequestError: if no connection could be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        timeout_s = min(self._connect_timeout_s, deadline_at - loop.time())
        try:
            _, connection = await run_with_timeout(
                loop.create_connection(HttpConnection, host, int(port)),
                timeout_s,
            )
        except (OSError, TimeoutError) as error:
            raise RequestError(
                repr(error),
                may_be_sent=False,
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return connection

    def _release(self, connection: HttpConnection | None) -> None:
        """Return a connection to the pool, or close it if it is unusable."""
        if connection is None:
            return
        if connection.is_idle and connection.is_usable:
            self._idle.append(connection)
        else:
            connection.close()
