"""Measures what an ordinary client costs a listener, in processor time.

Prints the time of one request or message, the client's part included for
streams. To compare two versions, run it by turns with each on PYTHONPATH.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import Final

import click
from grpclib.client import Channel
from grpclib.client import StreamStreamMethod
import uvicorn
from uvicorn.server import ServerState

from features.support.fake_transport import FakeTransport
from fulmarscale.ids import EntryId
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.listeners.http_server import make_protocol
from fulmarscale.platform.asgi import read_body
from fulmarscale.platform.asgi import respond
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.streams import EntryStreamHandler
from fulmarscale.runs.streams import MessageQueue
from fulmarscale.runs.streams import RunStreamServer
from fulmarscale.runs.streams import SESSION_PATH
from fulmarscale.wire.codec import MessagePackCodec
from standins.ports import PORTS

MAX_BODY_BYTES: Final = 1 << 20
SMALL_BODY: Final = b"x" * 300
LARGE_BODY: Final = b"x" * 20_000
PIECE_BYTES: Final = 8 << 10
BURST: Final = 20
"""Messages that are sent on a stream without a pause."""


def make_post(body: bytes) -> bytes:
    """Return a request as a caller sends it."""
    return b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


async def answer(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Read a request and respond."""
    await read_body(scope, receive, MAX_BODY_BYTES)
    await respond(send, 200)


async def measure_requests(body: bytes, count: int) -> float:
    """Return the processor time of a request, in microseconds."""
    config = uvicorn.Config(answer, ws="none", lifespan="off", log_config=None)
    config.load()
    admission = RequestAdmission(RequestLimits())
    connection = make_protocol(admission, lambda: MAX_BODY_BYTES)(
        config=config, server_state=ServerState(), app_state={}
    )
    connection.connection_made(FakeTransport())
    data = make_post(body)
    pieces = [
        data[start : start + PIECE_BYTES]
        for start in range(0, len(data), PIECE_BYTES)
    ]
    began_at = time.process_time()
    for _ in range(count):
        for piece in pieces:
            connection.data_received(piece)
        while not connection.cycle.response_complete:
            await asyncio.sleep(0)
        connection.transport.written = b""
    spent_s = time.process_time() - began_at
    connection.connection_lost(None)
    admission.close()
    return 1e6 * spent_s / count


class Receiver(EntryStreamHandler):
    """Counts the messages of an entry."""

    def __init__(self) -> None:
        self.messages = 0

    def open_entry(
        self, outgoing: MessageQueue[AgentMessage], entry: EntryId
    ) -> int:
        """Register a new stream."""
        return 0

    def receive_entry(self, session: int, message: EntryMessage) -> None:
        """Count a message."""
        self.messages += 1

    def close_entry(self, session: int) -> None:
        """Remove a closed stream."""


async def measure_messages(count: int) -> float:
    """Return the processor time of a message, in microseconds."""
    receiver = Receiver()
    server = RunStreamServer(receiver)
    port = PORTS.pick()
    await server.start("127.0.0.1", port)
    channel = Channel("127.0.0.1", port, codec=MessagePackCodec())
    method = StreamStreamMethod(
        channel, SESSION_PATH, EntryMessage, AgentMessage
    )
    message = EntryMessage(EntryId("entry-0", 1), 1, None)
    async with method.open() as stream:
        await stream.send_request()
        began_at = time.process_time()
        for number in range(1, count + 1):
            await stream.send_message(message)
            if number % BURST == 0:
                while receiver.messages < number:
                    await asyncio.sleep(0)
        spent_s = time.process_time() - began_at
        await stream.cancel()
    channel.close()
    await server.close()
    return 1e6 * spent_s / count


@click.command()
@click.option("--count", default=20_000, help="Requests and messages.")
def main(count: int) -> None:
    """Print the time of a small and a large request and of a message."""
    small_us = asyncio.run(measure_requests(SMALL_BODY, count))
    large_us = asyncio.run(measure_requests(LARGE_BODY, count // 4))
    message_us = asyncio.run(measure_messages(count))
    print(f"{small_us:.2f} {large_us:.2f} {message_us:.2f} us")


if __name__ == "__main__":
    main()
