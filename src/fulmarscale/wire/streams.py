"""Long-lived streams between the system's processes, by grpclib."""

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
from grpclib.server import Server
import msgspec

from fulmarscale.wire.codec import MessagePackCodec
from fulmarscale.wire.messages import AgentUplink
from fulmarscale.wire.messages import Announce
from fulmarscale.wire.messages import FromAgent
from fulmarscale.wire.messages import Hello
from fulmarscale.wire.messages import merge_reports
from fulmarscale.wire.messages import PeerEnvelope
from fulmarscale.wire.messages import ToAgent

if TYPE_CHECKING:
    from ssl import SSLContext

    from grpclib.server import Stream

    from fulmarscale.control.entry_list import Member

AGENT_PATH: Final = "/fulmarscale.Entry/AgentSession"
PEER_PATH: Final = "/fulmarscale.Entry/PeerSession"

QUEUE_LIMIT: Final = 10_000
"""Messages that wait for one stream; more means it is stuck."""

CONNECT_TIMEOUT_S: Final = 1.0
SHORTEST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 1.0

STREAM_ERRORS: Final = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    TimeoutError,
    msgspec.MsgspecError,
)
"""What a broken stream or a malformed message raises."""


class StreamHandler(ABC):
    """Takes in what comes on the streams that an entry serves."""

    @abstractmethod
    def open_agent(self, outgoing: Outgoing, announce: Announce) -> int:
        """Take in a new agent stream.

        :returns: the number of the session.
        """

    @abstractmethod
    def receive_agent(self, session: int, message: FromAgent) -> None:
        """Take in an agent's message."""

    @abstractmethod
    def close_agent(self, session: int) -> None:
        """Note the end of an agent stream."""

    @abstractmethod
    def receive_peer(self, sender: Member, envelope: PeerEnvelope) -> None:
        """Take in another entry's message."""


class Outgoing:
    """Messages that wait to be sent on one agent stream."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[ToAgent | None] = asyncio.Queue(QUEUE_LIMIT)

    def put(self, message: ToAgent) -> None:
        """Queue a message; a stuck stream is closed instead."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.end()

    def end(self) -> None:
        """Close the stream."""
        while not self._queue.empty():
            self._queue.get_nowait()
        self._queue.put_nowait(None)

    async def get(self) -> ToAgent | None:
        """Wait for the next message; none to close the stream."""
        return await self._queue.get()


class StreamServer:
    """Serves the streams of agents and other entries."""

    def __init__(
        self, handler: StreamHandler, secret: str, tls: SSLContext | None
    ) -> None:
        self._handler = handler
        self._secret = secret
        self._tls = tls
        self._server: Server | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Give grpclib the served methods."""
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
        """Listen."""
        self._server = Server([self], codec=MessagePackCodec())
        await self._server.start(host, port, ssl=self._tls)

    async def close(self) -> None:
        """Stop listening and end all streams."""
        if self._server is None:
            return
        self._server.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._server.wait_closed()

    async def _serve_agent(self, stream: Stream[AgentUplink, ToAgent]) -> None:
        first = await _receive(stream)
        if not isinstance(first, Announce):
            return
        if not hmac.compare_digest(first.secret, self._secret):
            return
        outgoing = Outgoing()
        session = self._handler.open_agent(outgoing, first)
        writer = asyncio.create_task(_write_all(stream, outgoing))
        reader = asyncio.create_task(self._read_agent(stream, session))
        try:
            await asyncio.wait(
                (writer, reader), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._handler.close_agent(session)
            await end_tasks(writer, reader)

    async def _read_agent(
        self, stream: Stream[AgentUplink, ToAgent], session: int
    ) -> None:
        while True:
            message = await _receive(stream)
            if not isinstance(message, FromAgent):
                return
            self._handler.receive_agent(session, message)

    async def _serve_peer(
        self, stream: Stream[PeerEnvelope, PeerEnvelope]
    ) -> None:
        sender: Member | None = None
        while True:
            envelope = await _receive(stream)
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
                self._handler.receive_peer(sender, envelope)


class PeerLink:
    """The stream from this entry to one other."""

    def __init__(
        self, address: str, secret: str, tls: SSLContext | None
    ) -> None:
        self._address = address
        self._secret = secret
        self._tls = tls
        self._queue: asyncio.Queue[tuple[Member, PeerEnvelope]]
        self._queue = asyncio.Queue(QUEUE_LIMIT)
        self._task: asyncio.Task[None] | None = None
        self._used_at = time.monotonic()

    @property
    def used_at(self) -> float:
        """Monotonic time of the last message."""
        return self._used_at

    def start(self) -> None:
        """Begin to connect."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the stream."""
        if self._task is not None:
            await end_tasks(self._task)

    def put(self, sender: Member, envelope: PeerEnvelope) -> None:
        """Queue a message; it is lost if too many wait."""
        self._used_at = time.monotonic()
        with suppress(asyncio.QueueFull):
            self._queue.put_nowait((sender, envelope))

    async def _run(self) -> None:
        retry_s = SHORTEST_RETRY_S
        while True:
            channel = _open_channel(self._address, self._tls)
            try:
                await self._send_all(channel)
            except STREAM_ERRORS:
                self._drop_queue()
            finally:
                channel.close()
            await asyncio.sleep(retry_s)
            retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    async def _send_all(self, channel: Channel) -> None:
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

    def _drop_queue(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()


class EntryLinkHandler(ABC):
    """Takes in what comes on an agent's stream to an entry."""

    @abstractmethod
    def open_entry(self, link: EntryStream, address: str) -> int:
        """Take in a new stream.

        :returns: the number of the session.
        """

    @abstractmethod
    def receive_entry(self, session: int, message: ToAgent) -> None:
        """Take in an entry's message."""

    @abstractmethod
    def close_entry(self, session: int) -> None:
        """Note the end of a stream."""


class EntryStream:
    """The stream from an agent to one entry, opened again when it ends."""

    def __init__(
        self,
        address: str,
        announce: Announce,
        handler: EntryLinkHandler,
        tls: SSLContext | None,
    ) -> None:
        self._address = address
        self._announce = announce
        self._handler = handler
        self._tls = tls
        self._queue: asyncio.Queue[FromAgent] = asyncio.Queue(QUEUE_LIMIT)
        self._task: asyncio.Task[None] | None = None
        self._is_sending = False

    @property
    def is_idle(self) -> bool:
        """Whether all queued messages were sent."""
        return self._queue.empty() and not self._is_sending

    def start(self) -> None:
        """Begin to connect."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the stream."""
        if self._task is not None:
            await end_tasks(self._task)

    def put(self, message: FromAgent) -> None:
        """Queue a message."""
        with suppress(asyncio.QueueFull):
            self._queue.put_nowait(message)

    async def _run(self) -> None:
        retry_s = SHORTEST_RETRY_S
        while True:
            channel = _open_channel(self._address, self._tls)
            with suppress(*STREAM_ERRORS):
                await self._serve(channel)
                retry_s = SHORTEST_RETRY_S
            channel.close()
            await asyncio.sleep(retry_s)
            retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    async def _serve(self, channel: Channel) -> None:
        method = StreamStreamMethod(channel, AGENT_PATH, AgentUplink, ToAgent)
        async with method.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_message(self._announce)
            self._queue = asyncio.Queue(QUEUE_LIMIT)
            session = self._handler.open_entry(self, self._address)
            writer = asyncio.create_task(self._write_all(stream))
            try:
                while True:
                    message = await stream.recv_message()
                    if message is None:
                        return
                    self._handler.receive_entry(session, message)
            finally:
                self._handler.close_entry(session)
                await end_tasks(writer)

    async def _write_all(self, stream: Stream[ToAgent, AgentUplink]) -> None:
        with suppress(*STREAM_ERRORS):
            while True:
                self._is_sending = False
                waiting = [await self._queue.get()]
                self._is_sending = True
                while not self._queue.empty():
                    waiting.append(self._queue.get_nowait())
                await stream.send_message(merge_reports(waiting))


def _open_channel(address: str, tls: SSLContext | None) -> Channel:
    host, _, port = address.rpartition(":")
    return Channel(host, int(port), codec=MessagePackCodec(), ssl=tls)


async def _receive(stream: Stream) -> object:
    try:
        return await stream.recv_message()
    except STREAM_ERRORS:
        return None


async def _write_all(stream: Stream, outgoing: Outgoing) -> None:
    with suppress(*STREAM_ERRORS):
        while True:
            message = await outgoing.get()
            if message is None:
                return
            await stream.send_message(message)


async def end_tasks(*tasks: asyncio.Task) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
