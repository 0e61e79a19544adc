"""Connections with gRPC streams that hold and do a bounded amount.

The frames that a client sends are counted before the HTTP/2 library gets
them, and worked through in turns with all other connections of the process.
"""

from __future__ import annotations

import asyncio
from typing import cast
from typing import Final
from typing import TYPE_CHECKING

from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import Buffer
from grpclib.protocol import EventsProcessor
from grpclib.protocol import H2Protocol
from h2.exceptions import H2Error

from fulmarscale.listeners.http_admission import Holder
from fulmarscale.listeners.http_limits import Bound
from fulmarscale.listeners.unread_answers import UnreadAnswers
from fulmarscale.listeners.work_turns import FREE_UNITS
from fulmarscale.listeners.work_turns import TurnTaker
from fulmarscale.wire.frame_meter import FrameMeter

if TYPE_CHECKING:
    from collections.abc import Callable

    from h2.events import Event
    from h2.events import RequestReceived

    from fulmarscale.listeners.http_admission import RequestAdmission

MAX_FIRST_MESSAGE_BYTES: Final = 1 << 20
"""The longest first message of a connection, which names its sender."""

SMALL_MESSAGE_BYTES: Final = 16 << 10
"""Messages up to this length are not claimed."""

READ_BYTES: Final = 64 << 10
"""The most bytes that are read from a connection at once."""

NO_STREAM_S: Final = 4.0
"""How long a connection may be without a stream; clients open one at once."""

FRAME_UNITS: Final = 8
"""Units of work for a frame."""

MAX_UNREAD_FRAMES: Final = 128
"""Frames of messages that were not read yet, above which no more are taken."""

MESSAGES_AT_ONCE: Final = 32
"""Messages of a stream that are read until others have their turn."""

REQUIRED_FIELDS: Final = frozenset((":method", ":path"))
"""Header fields without which grpclib can't handle a request."""


class BoundedStreamConnection(H2Protocol, Holder, TurnTaker):
    """A connection of a `BoundedStreamServer`.

    :param plain: the connection that grpclib would use.
    :param admission: decides on the bytes of all connections.
    :param connections: all open connections of the server.
    :param max_connections: the limit of these.
    :param max_message_bytes: the longest message.
    """

    def __init__(
        self,
        plain: H2Protocol,
        admission: RequestAdmission,
        connections: dict[BoundedStreamConnection, None],
        max_connections: int,
        max_message_bytes: int,
    ) -> None:
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self.holder_id = admission.next_id()
        self._admission = admission
        self._connections = connections
        self._max_connections = max_connections
        self._max_message_bytes = max_message_bytes
        self._meter = FrameMeter(admission.stream_limits)
        self._claimed_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._began_at = 0.0
        self._idle_at = 0.0
        self._has_message = False
        self._unparsed = b""
        """What waits for a turn; nothing more is read until it is parsed."""
        self.is_holding = False
        """Whether frames wait until the streams have read those before."""
        self._is_write_paused = False
        self._is_read_paused = False
        self._unread = UnreadAnswers(admission.limits)

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
        decoder = self.connection._connection.decoder
        decoder.max_header_list_size = (
            self._admission.stream_limits.header_bytes
        )
        self._began_at = self._idle_at = asyncio.get_running_loop().time()
        self._connections[self] = None
        if len(self._connections) > self._max_connections:
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
        self._unparsed = b""
        self._connections.pop(self, None)
        self._admission.turns.discard(self)
        self._admission.release(self)

    def data_received(self, data: bytes) -> None:
        """Take what has arrived."""
        if self._unparsed:
            self._unparsed += data
        elif self._meter.take_message(data):
            self._feed(data)
        else:
            self._parse(data)

    def take_turn(self) -> None:
        """Go on with what was held back."""
        if self.is_holding:
            return
        data, self._unparsed = self._unparsed, b""
        try:
            self._parse(data)
        except Exception:
            self.refuse(Bound.FRAMING, len(data))
            raise
        self._update_reading()

    def pause_writing(self) -> None:
        """Hold back messages, and read nothing that wants an answer."""
        super().pause_writing()
        self._is_write_paused = True
        now = asyncio.get_running_loop().time()
        self._unread.begin(now, self._pending_bytes)
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on with messages, and read again."""
        super().resume_writing()
        self._is_write_paused = False
        self._unread.end()
        self._update_reading()

    def give_way(self) -> None:
        """Close the connection, as others need the bytes of its messages."""
        self.refuse(Bound.BUDGET, self._claimed_bytes)

    def check(self, now: float, late_s: float) -> bool:
        """Close a connection without streams, or whose client doesn't read.

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
        pending_bytes = self._pending_bytes
        if self._unread.is_overdue(now, late_s, pending_bytes):
            self.refuse(Bound.SEND_TIME, pending_bytes)
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
        self._unparsed = b""
        transport.abort()
        self._connections.pop(self, None)

    def resume_frames(self) -> None:
        """Go on with frames that were held back behind unread ones."""
        if (
            self._unparsed
            and self._count_unread() <= MAX_UNREAD_FRAMES - MESSAGES_AT_ONCE
        ):
            self.is_holding = False
            self._admission.turns.defer(self)

    def _count_unread(self) -> int:
        """Return the frames of messages that the streams have not read."""
        return sum(
            stream.buffer.unread_frames  # type: ignore[attr-defined]
            for stream in self.processor.streams.values()
        )

    async def receive(
        self, read: Callable[[int], asyncio.Future[bytes]], size: int
    ) -> bytes:
        """Receive a message if there is room for it.

        :param read: a coroutine function that receives that many bytes.
        :param size: the length of the message.
        :raises StreamTerminatedError: if it is refused.
        """
        limit = self._max_message_bytes
        if not self._has_message:
            limit = min(limit, MAX_FIRST_MESSAGE_BYTES)
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

    def _parse(self, data: bytes) -> None:
        """Pass frames to the HTTP/2 library as far as the turns allow."""
        clock = asyncio.get_running_loop().time
        position = 0
        size = len(data)
        units = FREE_UNITS
        has_turn = False
        while position < size and not self.connection.is_closing():
            if self._count_unread() >= MAX_UNREAD_FRAMES:
                # The streams let it go on once they have read.
                self.is_holding = True
                self._hold_back(data[position:])
                return
            if units <= 0 and not has_turn:
                has_turn = True
                units = self._admission.turns.grant()
            if units <= 0:
                self._hold_back(data[position:])
                self._admission.turns.defer(self)
                return
            end, bound = self._meter.advance(
                data, position, clock, -(-units // FRAME_UNITS)
            )
            units -= self._meter.frames * FRAME_UNITS
            if bound is not None:
                self.refuse(bound, size)
                return
            is_whole = position == 0 and end == size
            self._feed(data if is_whole else data[position:end])
            position = end

    def _feed(self, data: bytes) -> None:
        """Process whole frames and what has arrived of the last one."""
        try:
            events = self.connection.feed(data)
        except (H2Error, UnicodeError):
            self.refuse(Bound.FRAMING, len(data))
            return
        self.connection.flush()
        processor = self.processor
        for event in events:
            processor.process(event)
        if not self.connection.is_closing():
            self.connection.flush()

    def _hold_back(self, data: bytes) -> None:
        """Keep bytes that are parsed later, and read no more until then."""
        self._unparsed = data
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only while nothing waits to be parsed or to be written."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_paused = bool(self._unparsed) or self._is_write_paused
        if is_paused == self._is_read_paused:
            return
        self._is_read_paused = is_paused
        if is_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    @property
    def _pending_bytes(self) -> int:
        """Bytes of answers that wait for the client to read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

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


class _EventFunctions(dict[type, "Callable[[Event], None]"]):
    """The functions that process events; those of unknown frames do nothing.

    HTTP/2 asks to ignore unknown frames, and grpclib has no function for them.
    """

    def __missing__(self, event_type: type) -> Callable[[Event], None]:
        return _ignore


def _ignore(event: Event) -> None:
    """Process an event that has no meaning here."""


class _BoundedProcessor(EventsProcessor):
    """Gives each stream a buffer that checks the length of messages."""

    def __init__(self, owner: BoundedStreamConnection) -> None:
        super().__init__(owner.handler, owner.connection)
        self._owner = owner
        self.processors = _EventFunctions(self.processors)

    def process_request_received(self, event: RequestReceived) -> None:
        """Register a new stream."""
        headers = event.headers or []
        if not REQUIRED_FIELDS.issubset(name for name, _ in headers):
            self._owner.refuse(Bound.FRAMING, 0)
            return
        stream = self.connection.create_stream(stream_id=event.stream_id)
        stream.buffer = _BoundedBuffer(self._owner, stream.buffer)
        release_stream = self.register(stream)
        self.handler.accept(
            stream,
            headers,  # type: ignore[arg-type]
            release_stream,
        )


class _BoundedBuffer(Buffer):
    """The received data of one stream.

    grpclib reads the prefix of each message, with its length, and then the
    message.
    """

    def __init__(self, owner: BoundedStreamConnection, plain: Buffer) -> None:
        super().__init__(self._acknowledge)
        self._owner = owner
        self._plain_acknowledge = plain._ack_callback
        self._is_prefix_read = False
        self._messages = 0
        """Messages that were read since others had their turn."""

    @property
    def unread_frames(self) -> int:
        """Frames that were not read."""
        return self._unacked.qsize()

    def add(self, data: bytes, ack_size: int) -> None:
        """Add the data of a frame; grpclib takes one without any as the end.

        :param data: the data.
        :param ack_size: its size for the flow control.
        """
        if ack_size:
            super().add(data, ack_size)

    async def read(self, size: int) -> bytes:
        """Return that many bytes; fewer if the stream has ended."""
        if not self._is_prefix_read:
            if self._unacked.empty():
                # Reading waits, so that others have their turn.
                self._messages = 0
            elif self._messages == MESSAGES_AT_ONCE:
                self._messages = 0
                await asyncio.sleep(0)
            self._messages += 1
            prefix = await super().read(size)
            self._is_prefix_read = bool(prefix)
            return prefix
        self._is_prefix_read = False
        return await self._owner.receive(super().read, size)

    def unacked_size(self) -> int:
        """Return the size of the data that was not read, and drop it."""
        size = super().unacked_size()
        if self._owner.is_holding:
            self._owner.resume_frames()
        return size

    def _acknowledge(self, size: int) -> None:
        self._plain_acknowledge(size)
        if self._owner.is_holding:
            self._owner.resume_frames()
