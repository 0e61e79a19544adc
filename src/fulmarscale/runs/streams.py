"""gRPC streams between entries and agents about runs.

Agents listen and entries connect. Entries read the agents' addresses from the
store and keep them while it is unavailable.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from contextlib import suppress
import time
from typing import Final
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

from grpclib.client import Channel
from grpclib.client import StreamStreamMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.exceptions import StreamTerminatedError

from fulmarscale.background import BackgroundTask
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.runs.limits import STREAM_TIMEOUT_S
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.settings import split_address
from fulmarscale.wire.bounded_server import BoundedStreamServer
from fulmarscale.wire.codec import MessagePackCodec
from fulmarscale.wire.streams import cancel_tasks
from fulmarscale.wire.streams import CONNECT_TIMEOUT_S
from fulmarscale.wire.streams import STREAM_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from grpclib.server import Stream

    from fulmarscale.ids import EntryId
    from fulmarscale.logs import EventLog

Message = TypeVar("Message")

SESSION_PATH: Final = "/fulmarscale.Agent/RunSession"

MAX_QUEUED_MESSAGES: Final = 2_000
"""Messages that may wait for one stream.

A stream with more of them counts as stuck and is closed.
"""

MAX_MESSAGE_BYTES: Final = 2 << 20
"""The longest message to an agent.

The longest has a site configuration: some 200 KB for 1,400 queues.
"""

MIN_STUCK_MESSAGES: Final = 32
"""Messages that wait, below which a stream doesn't count as stuck."""

MIN_RETRY_S: Final = 0.05
"""The first delay before a stream is opened again."""

RETRY_GROWTH: Final = 1.5
"""Factor from one delay to the next.

After a power loss agents start within 0.5 s of the entries.
"""

MAX_RETRY_S: Final = 1.0
"""The longest delay before a stream is opened again."""


class MessageQueue(Generic[Message]):
    """Outgoing messages of one stream.

    :param clock: returns monotonic time.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._queue: asyncio.Queue[Message]
        self._queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._closed = asyncio.Event()
        self._clock = clock
        self._taken_at = clock()
        """When a message was last taken to be sent."""

    def put(self, message: Message) -> None:
        """Queue a message, or close the stream if its peer takes none.

        It takes none if the queue is full, or if some messages wait and none
        was sent for STREAM_TIMEOUT_S.
        """
        if self._closed.is_set():
            return
        if (
            self._queue.qsize() >= MIN_STUCK_MESSAGES
            and self._clock() - self._taken_at > STREAM_TIMEOUT_S
        ):
            self.close()
            return
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.close()

    def close(self) -> None:
        """Discard the queued messages and close the stream."""
        while not self._queue.empty():
            self._queue.get_nowait()
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait until the stream is to be closed."""
        await self._closed.wait()

    async def send_all(self, stream: Stream) -> None:
        """Send queued messages until the stream breaks."""
        with suppress(*STREAM_ERRORS):
            while True:
                message = await self._queue.get()
                self._taken_at = self._clock()
                await stream.send_message(message)


class EntryStreamHandler(ABC):
    """Processes the streams and messages of entries, at an agent."""

    @abstractmethod
    def open_entry(
        self, outgoing: MessageQueue[AgentMessage], entry: EntryId
    ) -> int:
        """Register a new stream.

        :param outgoing: the queue of messages to the entry.
        :param entry: the entry and its incarnation.
        :returns: the number of the stream.
        """

    @abstractmethod
    def receive_entry(self, session: int, message: EntryMessage) -> None:
        """Process a message of an entry."""

    @abstractmethod
    def close_entry(self, session: int) -> None:
        """Remove a closed stream."""


class RunStreamServer:
    """The gRPC server of an agent, to which entries open streams."""

    def __init__(
        self,
        handler: EntryStreamHandler,
        admission: RequestAdmission | None = None,
    ) -> None:
        self._handler = handler
        self._admission = admission or RequestAdmission(RequestLimits())
        self._server: BoundedStreamServer | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers of the served methods, for grpclib."""
        return {
            SESSION_PATH: Handler(
                self._serve,
                Cardinality.STREAM_STREAM,
                EntryMessage,
                AgentMessage,
            )
        }

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = BoundedStreamServer(
            self, MessagePackCodec(), self._admission, MAX_MESSAGE_BYTES
        )
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and close all streams."""
        if self._server is None:
            return
        self._server.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._server.wait_closed()

    async def _serve(self, stream: Stream[EntryMessage, AgentMessage]) -> None:
        first_message = await _receive(stream)
        if first_message is None:
            return
        outgoing: MessageQueue[AgentMessage] = MessageQueue()
        session = self._handler.open_entry(outgoing, first_message.entry)
        self._handler.receive_entry(session, first_message)
        try:
            await _run_until_one_ends(
                outgoing.send_all(stream),
                outgoing.wait_closed(),
                self._read(stream, session),
            )
        finally:
            self._handler.close_entry(session)

    async def _read(
        self, stream: Stream[EntryMessage, AgentMessage], session: int
    ) -> None:
        while True:
            message = await _receive(stream)
            if message is None:
                return
            self._handler.receive_entry(session, message)


class AgentStreamHandler(ABC):
    """Processes the streams and messages of agents, at an entry."""

    @abstractmethod
    def open_agent(
        self, outgoing: MessageQueue[EntryMessage], name: str
    ) -> int:
        """Register a new stream.

        :param outgoing: the queue of messages to the agent.
        :param name: the agent's name.
        :returns: the number of the stream.
        """

    @abstractmethod
    def receive_agent(self, session: int, message: AgentMessage) -> None:
        """Process a message of an agent."""

    @abstractmethod
    def close_agent(self, session: int) -> None:
        """Remove a closed stream."""


class AgentStream:
    """The stream of an entry to one agent, opened again when it is closed."""

    def __init__(
        self,
        name: str,
        address: str,
        handler: AgentStreamHandler,
        log: EventLog,
    ) -> None:
        self._name = name
        self._address = address
        self._handler = handler
        self._task = BackgroundTask(self._run, log)
        self._has_received = False
        """Whether the agent has sent a message on the present stream."""

    def start(self) -> None:
        """Open the stream, and open it again whenever it is closed."""
        self._task.start()

    async def close(self) -> None:
        """Close the stream and don't open it again."""
        await self._task.close()

    async def _run(self) -> None:
        retry_s = MIN_RETRY_S
        host, port = split_address(self._address)
        while True:
            channel = Channel(host, port, codec=MessagePackCodec())
            self._has_received = False
            try:
                with suppress(*STREAM_ERRORS):
                    await self._run_session(channel)
            finally:
                channel.close()
            if self._has_received:
                retry_s = MIN_RETRY_S
            await asyncio.sleep(retry_s)
            retry_s = min(MAX_RETRY_S, RETRY_GROWTH * retry_s)

    async def _run_session(self, channel: Channel) -> None:
        method = StreamStreamMethod(
            channel, SESSION_PATH, EntryMessage, AgentMessage
        )
        async with method.open() as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            outgoing: MessageQueue[EntryMessage] = MessageQueue()
            session = self._handler.open_agent(outgoing, self._name)
            try:
                await _run_until_one_ends(
                    outgoing.send_all(stream),
                    outgoing.wait_closed(),
                    self._read(stream, session),
                )
            finally:
                self._handler.close_agent(session)
            # grpclib takes a stream that is left without an exception for one
            # whose directions have both been ended.
            raise StreamTerminatedError("one direction has ended")

    async def _read(
        self, stream: Stream[EntryMessage, AgentMessage], session: int
    ) -> None:
        while True:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                return
            self._has_received = True
            self._handler.receive_agent(session, message)


async def _run_until_one_ends(*works: Coroutine[None, None, None]) -> None:
    """Run the parts of a stream until one ends, then end the others.

    Raises the exception of the one that has failed.
    """
    tasks = [asyncio.create_task(work) for work in works]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        await cancel_tasks(*tasks)


async def _receive(stream: Stream) -> EntryMessage | None:
    """Return the next message of an entry; none if the stream is closed."""
    try:
        async with asyncio.timeout(STREAM_TIMEOUT_S):
            return await stream.recv_message()
    except STREAM_ERRORS:
        return None
