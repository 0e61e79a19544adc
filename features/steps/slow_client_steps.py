"""Steps with clients that send or read slowly, at one listener."""

from __future__ import annotations

import asyncio
import socket
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import use_fixture
from behave import when

from features.steps.bounded_connection_steps import listener_runner
from features.steps.bounded_connection_steps import make_post
from features.steps.bounded_connection_steps import RESPONSE
from features.steps.bounded_connection_steps import WAIT_S
from features.steps.bounded_connection_steps import wait_until
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.listeners.request_budget import MIN_HELD_S
from fulmarscale.listeners.unread_answers import UnreadAnswers

if TYPE_CHECKING:
    from behave.runner import Context

SMALL_BUFFER_BYTES: Final = 4_096
ANSWER_BYTES: Final = 1_000_000
LARGE_GET: Final = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED: Final = (
    b"POST /quick HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@given("a listener with {connections:d} connections")
def make_narrow(context: Context, connections: int) -> None:
    use_fixture(listener_runner, context, 80, connections)


async def open_slow(context: Context) -> socket.socket:
    """Ask for a large answer on a connection that takes few bytes."""
    client = socket.socket()
    context.add_cleanup(client.close)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", context.listener.port))
    await loop.sock_sendall(client, LARGE_GET)
    return client


@when("{count:d} clients read nothing of their answers")
def read_nothing(context: Context, count: int) -> None:
    async def ask() -> None:
        for _ in range(count):
            await open_slow(context)
        await asyncio.sleep(2 * MIN_HELD_S)

    context.run(ask())


@then("an ordinary request is answered")
def check_answered(context: Context) -> None:
    async def ask() -> None:
        reader, writer = await context.listener.open(make_post(0, "/quick"))
        async with asyncio.timeout(WAIT_S):
            status = await reader.readexactly(len(RESPONSE))
        writer.close()
        assert status == RESPONSE, status

    context.run(ask())


@then("{count:d} small bodies in chunks are served at the same time")
def check_chunked(context: Context, count: int) -> None:
    async def serve() -> None:
        listener = context.listener
        pairs = [await listener.open(CHUNKED) for _ in range(count)]
        await wait_until(lambda: len(listener.connections) == count)
        statuses = []
        for _, writer in pairs:
            writer.write(b"2\r\n{}\r\n")
        for reader, writer in pairs:
            writer.write(b"0\r\n\r\n")
            async with asyncio.timeout(WAIT_S):
                statuses.append(await reader.readexactly(len(RESPONSE)))
            writer.close()
        assert set(statuses) == {RESPONSE}, statuses

    context.run(serve())


@then("a client that reads {rate:d} bytes a second is overdue after {s:d} s")
def check_slow(context: Context, rate: int, s: int) -> None:
    assert overdue_after_s(rate) == s, overdue_after_s(rate)


@then("a client that reads {rate:d} bytes a second is never overdue")
def check_fast(context: Context, rate: int) -> None:
    assert overdue_after_s(rate) is None, overdue_after_s(rate)


def overdue_after_s(rate: int) -> int | None:
    """Return after how many checks, one a second, a client is overdue."""
    unread = UnreadAnswers(RequestLimits(least_rate_bytes_s=10_000))
    unread.begin(0.0, ANSWER_BYTES)
    for now in range(1, ANSWER_BYTES // rate + 1):
        if unread.is_overdue(now, 0.0, ANSWER_BYTES - now * rate):
            return now
    return None
