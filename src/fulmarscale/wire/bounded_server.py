"""A gRPC server that holds a bounded part of what its clients send.

grpclib acknowledges the data of a message while it arrives, so that its flow
control doesn't bound the message. Here the length that a message announces
is checked, and claimed from the process's budget, before it is received.
"""

from __future__ import annotations

import asyncio
from typing import cast
from typing import Final
from typing import TYPE_CHECKING

from grpclib.config import Configuration
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import Buffer
from grpclib.protocol import EventsProcessor
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from fulmarscale.http_admission import Holder
from fulmarscale.http_limits import Bound

if TYPE_CHECKING:
    from collections.abc import Callable

    from h2.events import RequestReceived

    from fulmarscale.http_admission import RequestAdmission
    from fulmarscale.wire.codec import MessagePackCodec

MAX_MESSAGE_BYTES: Final = 16 << 20
"""The longest message; the largest, a result of all targets, is far less."""

MAX_FIRST_MESSAGE_BYTES: Final = 1 << 20
"""The longest first message of a connection, which names its sender."""

SMALL_MESSAGE_BYTES: Final = 16 << 10
"""Messages up to this length are not claimed."""

WINDOW_BYTES: Final = 1 << 20
"""Bytes of a connection that may arrive before they are read."""

READ_BYTES: Final = 64 << 10
"""The most bytes that are read from a connection at once."""

NO_STREAM_S: Final = 4.0
"""How long a connection may be without a stream; clients open one at once."""

MAX_CONNECTIONS: Final = 2_048
"""The most connections; each process of a site opens one."""


class BoundedStreamServer(Server):
    """A gRPC server with bounds on messages and connections.

    :param handler: the object whose `__mapping__` names the methods.
    :param codec: the codec of the messages.
    :param admission: decides on the bytes of all connections.
    """

    def __init__(
        self,
        handler: object,
        codec: MessagePackCodec,
        admission: RequestAdmission,
    ) -> None:
        super().__init__(
            [handler],  # type: ignore[list-item]
            codec=codec,
            config=Configuration(
                http2_connection_window_size=WINDOW_BYTES,
                http2_stream_window_size=WINDOW_BYTES,
            ),
        )
        self._admission = admission
        self._connections: dict[BoundedStreamConnection, None] = {}
        """Open connections, the oldest one first."""

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return BoundedStreamConnection(
            plain, self._admission, self._connections
        )


class BoundedStreamConnection(H2Protocol, Holder):
    """A connection of a `BoundedStreamServer`.

    :param plain: the connection that grpclib would use.
    :param admission: decides on the bytes of all connections.
    :param connections: all open connections of the server.
    """

    def __init__(
        self,
        plain: H2Protocol,
        admission: RequestAdmission,
        connections: dict[BoundedStreamConnection, None],
    ) -> None:
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self.holder_id = admission.next_id()
        self._admission = admission
        self._connections = connections
        self._claimed_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._began_at = 0.0
        self._idle_at = 0.0
        self._has_message = False

    @property
    def has_message(self) -> bool:
        """Whether a whole message has arrived."""
        return self._has_message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare to read, and make room for the connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)
        self.processor = _BoundedProcessor(self)
        self._began_at = self._idle_at = asyncio.get_running_loop().time()
        self._connections[self] = None
        if len(self._connections) > MAX_CONNECTIONS:
            least = next(
                (each for each in self._connections if not each.has_message),
                self,
            )
            least.refuse(Bound.CONNECTIONS, 0)
        self._admission.watch(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what the connection holds."""
        super().connection_lost(exc)
        self._transport = None
        self._connections.pop(self, None)
        self._admission.release(self)

    def give_way(self) -> None:
        """Close the connection, as others need the bytes of its messages."""
        self.refuse(Bound.BUDGET, self._claimed_bytes)

    def check(self, now: float, late_s: float) -> bool:
        """Close a connection without streams.

        :param now: the event loop's time.
        :param late_s: how long the process was held up.
        :returns: whether it has to be checked again.
        """
        if self._transport is None:
            return False
        self._idle_at += late_s
        if self.processor.streams:
            self._idle_at = now
        elif now - self._idle_at > NO_STREAM_S:
            self.refuse(Bound.RECEIVE_TIME, 0)
            return False
        return True

    def refuse(self, bound: Bound, size: int) -> None:
        """Close the connection and log its client.

        :param bound: the bound that it exceeded.
        :param size: the bytes of its messages.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        age_s = asyncio.get_running_loop().time() - self._began_at
        peer = transport.get_extra_info("peername")
        self._admission.record_refusal(bound, size, age_s, peer)
        transport.abort()
        self._connections.pop(self, None)

    async def receive(
        self, read: Callable[[int], asyncio.Future[bytes]], size: int
    ) -> bytes:
        """Receive a message if there is room for it.

        :param read: a coroutine function that receives that many bytes.
        :param size: the length of the message.
        :raises StreamTerminatedError: if it is refused.
        """
        limit = (
            MAX_MESSAGE_BYTES if self._has_message else MAX_FIRST_MESSAGE_BYTES
        )
        if size > limit:
            self.refuse(Bound.MESSAGE_BYTES, size)
            raise StreamTerminatedError("the message is too long")
        claimed_bytes = size if size > SMALL_MESSAGE_BYTES else 0
        if self._has_message and not claimed_bytes:
            return await read(size)
        if not self._claim(claimed_bytes):
            self.refuse(Bound.BUDGET, size)
            raise StreamTerminatedError("there is no room for the message")
        try:
            timeout_s = self._admission.limits.receive_time_s(size)
            async with asyncio.timeout(timeout_s):
                message = await read(size)
        except TimeoutError:
            self.refuse(Bound.RECEIVE_TIME, size)
            raise StreamTerminatedError("the message is too slow") from None
        finally:
            self._claim(-claimed_bytes)
        self._has_message = True
        return message

    def _claim(self, change: int) -> bool:
        """Change the bytes that are claimed for messages."""
        if change == 0:
            return True
        size = self._claimed_bytes + change
        if size == 0:
            self._admission.release(self)
        elif not self._admission.claim(self, size, complete_size=0):
            return False
        self._claimed_bytes = size
        return True


class _BoundedProcessor(EventsProcessor):
    """Gives each stream a buffer that checks the length of messages."""

    def __init__(self, owner: BoundedStreamConnection) -> None:
        super().__init__(owner.handler, owner.connection)
        self._owner = owner

    def process_request_received(self, event: RequestReceived) -> None:
        """Register a new stream."""
        stream = self.connection.create_stream(stream_id=event.stream_id)
        stream.buffer = _BoundedBuffer(self._owner, stream.buffer)
        release_stream = self.register(stream)
        self.handler.accept(
            stream,
            event.headers,  # type: ignore[arg-type]
            release_stream,
        )


class _BoundedBuffer(Buffer):
    """The received data of one stream.

    grpclib reads the prefix of each message, with its length, and then the
    message.
    """

    def __init__(self, owner: BoundedStreamConnection, plain: Buffer) -> None:
        super().__init__(plain._ack_callback)
        self._owner = owner
        self._is_prefix_read = False

    async def read(self, size: int) -> bytes:
        """Return that many bytes; fewer if the stream has ended."""
        if not self._is_prefix_read:
            prefix = await super().read(size)
            self._is_prefix_read = bool(prefix)
            return prefix
        self._is_prefix_read = False
        return await self._owner.receive(super().read, size)
