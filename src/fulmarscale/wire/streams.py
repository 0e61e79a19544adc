"""Long-lived gRPC streams from agents to entries and among entries.

Entries serve the streams. Agents and peers connect and reconnect, and each
client authenticates in its first message with the secret of the site.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from contextlib import suppress
import hmac
import time
from typing import Final
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.client import StreamStreamMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
import msgspec

from fulmarscale.background import BackgroundTask
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.wire.bounded_server import BoundedStreamServer
from fulmarscale.wire.codec import MessagePackCodec
from fulmarscale.wire.messages import AgentUplink
from fulmarscale.wire.messages import Announce
from fulmarscale.wire.messages import FromAgent
from fulmarscale.wire.messages import Hello
from fulmarscale.wire.messages import merge_agent_messages
from fulmarscale.wire.messages import PeerEnvelope
from fulmarscale.wire.messages import ToAgent

if TYPE_CHECKING:
    from ssl import SSLContext

    from grpclib.server import Stream

    from fulmarscale.control.entry_list import Member
    from fulmarscale.logs import EventLog

AGENT_PATH: Final = "/fulmarscale.Entry/AgentSession"
"""The gRPC method of the streams from agents."""

PEER_PATH: Final = "/fulmarscale.Entry/PeerSession"
"""The gRPC method of the streams from other entries."""

MAX_QUEUED_MESSAGES: Final = 10_000
"""The limit of a stream's send queue; a longer one means it is stuck."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Timeout for opening a stream, and for closing the server."""

SHORTEST_RETRY_S: Final = 0.1
"""The first pause before a reconnect; it doubles with each attempt."""

LONGEST_RETRY_S: Final = 1.0
"""The longest pause before a reconnect."""

STREAM_ERRORS: Final = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    TimeoutError,
    msgspec.MsgspecError,
)
"""Exceptions that a broken stream or a malformed message raises."""


class StreamServerHandler(ABC):
    """Callbacks of a `StreamServer` for the streams that an entry serves."""

    @abstractmethod
    def open_agent_session(
        self, outgoing: AgentSendQueue, announce: Announce
    ) -> int:
        """Register a new stream from an agent.

        :param outgoing: the queue of messages to the agent.
        :param announce: the agent's first message, already authenticated.
        :returns: the number of the stream.
        """

    @abstractmethod
    def receive_agent_message(self, session: int, message: FromAgent) -> None:
        """Handle a message from an agent."""

    @abstractmethod
    def close_agent_session(self, session: int) -> None:
        """Unregister an agent's stream that has ended."""

    @abstractmethod
    def receive_peer_message(
        self, sender: Member, envelope: PeerEnvelope
    ) -> None:
        """Handle a message from another entry."""


class AgentSendQueue:
    """The send queue of one stream from an entry to an agent."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[ToAgent | None] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )

    def put(self, message: ToAgent) -> None:
        """Queue a message, or close the stream if the queue is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.close()

    def close(self) -> None:
        """Discard the queued messages and close the stream."""
        while not self._queue.empty():
            self._queue.get_nowait()
        self._queue.put_nowait(None)

    async def get(self) -> ToAgent | None:
        """Wait for the next message.

        :returns: the message; none if the stream is to be closed.
        """
        return await self._queue.get()


class StreamServer:
    """The gRPC server of an entry, for streams from agents and entries."""

    def __init__(
        self,
        handler: StreamServerHandler,
        secret: str,
        tls: SSLContext | None,
        admission: RequestAdmission | None = None,
    ) -> None:
        self._admission = admission or RequestAdmission(RequestLimits())
        self._handler = handler
        self._secret = secret
        self._tls = tls
        self._server: BoundedStreamServer | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers of the gRPC methods, as grpclib requires."""
        return {
            AGENT_PATH: Handler(
                self._serve_agent,
                Cardinality.STREAM_STREAM,
                AgentUplink,
                ToAgent,
            ),
            PEER_PATH: Handler(
                self._serve_peer,
                Cardinality.STREAM_STREAM,
                PeerEnvelope,
                PeerEnvelope,
            ),
        }

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self._server = BoundedStreamServer(
            self, MessagePackCodec(), self._admission
        )
        await self._server.start(host, port, ssl=self._tls)

    async def close(self) -> None:
        """Stop listening and close all streams."""
        if self._server is None:
            return
        self._server.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._server.wait_closed()

    async def _serve_agent(self, stream: Stream[AgentUplink, ToAgent]) -> None:
        first = await _receive_or_none(stream)
        if not isinstance(first, Announce):
            return
        if not hmac.compare_digest(first.secret, self._secret):
            return
        outgoing = AgentSendQueue()
        session = self._handler.open_agent_session(outgoing, first)
        writer = asyncio.create_task(_send_queued(stream, outgoing))
        reader = asyncio.create_task(self._read_agent(stream, session))
        try:
            await asyncio.wait(
                (writer, reader), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._handler.close_agent_session(session)
            await cancel_tasks(writer, reader)

    async def _read_agent(
        self, stream: Stream[AgentUplink, ToAgent], session: int
    ) -> None:
        while True:
            message = await _receive_or_none(stream)
            if not isinstance(message, FromAgent):
                return
            self._handler.receive_agent_message(session, message)

    async def _serve_peer(
        self, stream: Stream[PeerEnvelope, PeerEnvelope]
    ) -> None:
        sender: Member | None = None
        while True:
            envelope = await _receive_or_none(stream)
            if envelope is None:
                return
            message = envelope.message
            if isinstance(message, Hello):
                if not hmac.compare_digest(message.secret, self._secret):
                    return
                sender = message.member
            elif sender is None:
                return
            else:
                self._handler.receive_peer_message(sender, envelope)


class PeerStream:
    """The one-way stream of messages from this entry to one other.

    It reconnects when it breaks. Messages that are queued then are dropped.
    """

    def __init__(
        self,
        address: str,
        secret: str,
        tls: SSLContext | None,
        log: EventLog,
    ) -> None:
        self._address = address
        self._secret = secret
        self._tls = tls
        self._queue: asyncio.Queue[tuple[Member, PeerEnvelope]]
        self._queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._task = BackgroundTask(self._run, log)
        self._last_used_at = time.monotonic()

    @property
    def last_used_at(self) -> float:
        """Monotonic time at which the last message was queued."""
        return self._last_used_at

    def start(self) -> None:
        """Start connecting in the background."""
        self._task.start()

    async def close(self) -> None:
        """Close the stream and stop reconnecting."""
        await self._task.close()

    def put(self, sender: Member, envelope: PeerEnvelope) -> None:
        """Queue a message; it is dropped if the queue is full.

        :param sender: this entry in its current incarnation.
        :param envelope: the message with its receiver.
        """
        self._last_used_at = time.monotonic()
        with suppress(asyncio.QueueFull):
            self._queue.put_nowait((sender, envelope))

    async def _run(self) -> None:
        retry_s = SHORTEST_RETRY_S
        while True:
            channel = _open_channel(self._address, self._tls)
            try:
                await self._send_all(channel)
            except STREAM_ERRORS:
                self._discard_queue()
            finally:
                channel.close()
            await asyncio.sleep(retry_s)
            retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    async def _send_all(self, channel: Channel) -> None:
        """Send queued messages, after a `Hello` for each new incarnation."""
        method = StreamStreamMethod(
            channel, PEER_PATH, PeerEnvelope, PeerEnvelope
        )
        sender: Member | None = None
        async with method.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            while True:
                member, envelope = await self._queue.get()
                if member != sender:
                    sender = member
                    hello = Hello(member, self._secret)
                    await stream.send_message(PeerEnvelope(envelope.to, hello))
                await stream.send_message(envelope)

    def _discard_queue(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()


class EntryStreamClientHandler(ABC):
    """Callbacks of an agent for its streams to entries."""

    @abstractmethod
    def open_entry_session(self, stream: EntryStream, address: str) -> int:
        """Register a stream that was opened to an entry.

        :param stream: the stream.
        :param address: the entry's address.
        :returns: the number of the stream.
        """

    @abstractmethod
    def receive_entry_message(self, session: int, message: ToAgent) -> None:
        """Handle a message from an entry."""

    @abstractmethod
    def close_entry_session(self, session: int) -> None:
        """Unregister a stream that has ended."""


class EntryStream:
    """The stream from an agent to one entry; it reconnects when it ends."""

    def __init__(
        self,
        address: str,
        announce: Announce,
        handler: EntryStreamClientHandler,
        tls: SSLContext | None,
        log: EventLog,
    ) -> None:
        self._address = address
        self._announce = announce
        self._handler = handler
        self._tls = tls
        self._queue: asyncio.Queue[FromAgent] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._task = BackgroundTask(self._run, log)
        self._is_sending = False

    @property
    def is_idle(self) -> bool:
        """Whether all queued messages were sent."""
        return self._queue.empty() and not self._is_sending

    def start(self) -> None:
        """Start connecting in the background."""
        self._task.start()

    async def close(self) -> None:
        """Close the stream and stop reconnecting."""
        await self._task.close()

    def put(self, message: FromAgent) -> None:
        """Queue a message; it is dropped if the queue is full."""
        with suppress(asyncio.QueueFull):
            self._queue.put_nowait(message)

    async def _run(self) -> None:
        retry_s = SHORTEST_RETRY_S
        while True:
            channel = _open_channel(self._address, self._tls)
            with suppress(*STREAM_ERRORS):
                await self._run_session(channel)
                retry_s = SHORTEST_RETRY_S
            channel.close()
            await asyncio.sleep(retry_s)
            retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    async def _run_session(self, channel: Channel) -> None:
        method = StreamStreamMethod(channel, AGENT_PATH, AgentUplink, ToAgent)
        async with method.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_message(self._announce)
            self._queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            session = self._handler.open_entry_session(self, self._address)
            writer = asyncio.create_task(self._send_queued(stream))
            try:
                while True:
                    message = await stream.recv_message()
                    if message is None:
                        return
                    self._handler.receive_entry_message(session, message)
            finally:
                self._handler.close_entry_session(session)
                await cancel_tasks(writer)

    async def _send_queued(self, stream: Stream[ToAgent, AgentUplink]) -> None:
        """Send queued messages, merging those that are queued together."""
        with suppress(*STREAM_ERRORS):
            while True:
                self._is_sending = False
                batch = [await self._queue.get()]
                self._is_sending = True
                while not self._queue.empty():
                    batch.append(self._queue.get_nowait())
                await stream.send_message(merge_agent_messages(batch))


def _open_channel(address: str, tls: SSLContext | None) -> Channel:
    host, _, port = address.rpartition(":")
    return Channel(host, int(port), codec=MessagePackCodec(), ssl=tls)


async def _receive_or_none(stream: Stream) -> object:
    """Return the next message; none if the stream ended or is broken."""
    try:
        return await stream.recv_message()
    except STREAM_ERRORS:
        return None


async def _send_queued(stream: Stream, outgoing: AgentSendQueue) -> None:
    """Send queued messages until the stream is closed or breaks."""
    with suppress(*STREAM_ERRORS):
        while True:
            message = await outgoing.get()
            if message is None:
                return
            await stream.send_message(message)


async def cancel_tasks(*tasks: asyncio.Task) -> None:
    """Cancel asyncio tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
