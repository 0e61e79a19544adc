"""Steps with connections of one listener, in the process of the steps."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import use_fixture
from behave import when
from behave.fixture import fixture

from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.listeners.http_server import AsgiServer
from fulmarscale.platform.asgi import DisconnectedError
from fulmarscale.platform.asgi import NoRoomError
from fulmarscale.platform.asgi import read_body
from fulmarscale.platform.asgi import respond
from fulmarscale.settings import add_vm_fields
from fulmarscale.settings import SiteEntrySettings
from standins.ports import PORTS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.runner import Context

BODY_BYTES: Final = 500_000
"""The limit of a body."""

LARGE_BYTES: Final = 4 << 20
"""The size of an answer that no system keeps for a client."""

WAIT_S: Final = 10.0
"""How long a step may wait for what has to happen."""

RESPONSE: Final = b"HTTP/1.1 200"
REFUSAL: Final = b"HTTP/1.1 503"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Listener:
    """A listener whose application answers requests to /job on command."""

    def __init__(self, memory_mb: int, connections: int) -> None:
        self.admission = RequestAdmission(RequestLimits(), memory_mb)
        self.port = PORTS.pick()
        self.may_answer = asyncio.Event()
        self.handled = 0
        self.errors: list[dict[str, Any]] = []
        self.held: list[Connection] = []
        self.server = AsgiServer(
            self.answer,
            "127.0.0.1",
            self.port,
            connections,
            self.admission,
            lambda: BODY_BYTES,
        )

    async def answer(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["path"] == "/early":
            await respond(send, 404)
            return
        if scope["path"] == "/large":
            await respond(send, 200, bytes(LARGE_BYTES))
            return
        try:
            await read_body(scope, receive, BODY_BYTES)
        except DisconnectedError:
            return
        except NoRoomError:
            await respond(send, 503)
            return
        if scope["path"] == "/job":
            self.handled += 1
            left = asyncio.ensure_future(receive())
            await self.may_answer.wait()
            left.cancel()
        await respond(send, 200)

    async def open(self, data: bytes = b"") -> Connection:
        connection = await asyncio.open_connection("127.0.0.1", self.port)
        connection[1].write(data)
        return connection

    @property
    def connections(self) -> set[Any]:
        return self.server._server.server_state.connections

    async def close(self) -> None:
        for _, writer in self.held:
            writer.transport.abort()
        self.may_answer.set()
        await self.server.close()


def make_post(size: int, path: str = "/job") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    return head.encode()


async def wait_until(condition: Any) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@fixture
def listener_runner(
    context: Context, memory_mb: int, connections: int
) -> Iterator[None]:
    with asyncio.Runner() as runner:
        context.run = runner.run
        listener = context.listener = Listener(memory_mb, connections)
        runner.run(start(listener))
        yield
        runner.run(context.listener.close())


async def start(listener: Listener) -> None:
    asyncio.get_running_loop().set_exception_handler(
        lambda _, details: listener.errors.append(details)
    )
    listener.server.start()
    await wait_until(lambda: listener.server._server.started)


@given("a listener with a budget of {budget_mb:d} MB")
def make_listener(context: Context, budget_mb: int) -> None:
    use_fixture(listener_runner, context, 8 * budget_mb, 1_000)


@when("a request whose body follows its head is being handled")
def send_in_two(context: Context) -> None:
    async def send() -> None:
        listener = context.listener
        connection = await listener.open(make_post(200_000))
        listener.held.append(connection)
        await wait_until(lambda: listener.admission.budget.used_bytes)
        connection[1].write(bytes(200_000))
        await wait_until(lambda: listener.handled == 1)

    context.run(send())


async def is_accepted(listener: Listener, size: int) -> bool:
    """Send a request, and return whether it is handled and not refused."""
    handled = listener.handled
    reader, writer = await listener.open(make_post(size) + bytes(size))
    response = asyncio.create_task(reader.read(12))
    await wait_until(lambda: listener.handled > handled or response.done())
    if response.done():
        assert response.result() == REFUSAL, response.result()
        writer.close()
        return False
    response.cancel()
    with suppress(asyncio.CancelledError):
        await response
    listener.held.append((reader, writer))
    return True


@when("requests of {size} bytes come until one is refused")
def fill_budget(context: Context, size: str) -> None:
    async def send() -> None:
        listener = context.listener
        count = int(size.replace(",", ""))
        while await is_accepted(listener, count):
            pass

    context.run(send())


@when("{count:d} connections hold a complete request and a byte of the next")
def hold_both(context: Context, count: int) -> None:
    async def send() -> None:
        listener = context.listener
        for _ in range(count):
            listener.held.append(
                await listener.open(make_post(4_500) + bytes(4_500) + b"G")
            )
        await wait_until(lambda: listener.handled == count)

    context.run(send())


@when("a request comes that lacks {lacking:d} bytes of room")
def send_one(context: Context, lacking: int) -> None:
    async def send() -> None:
        listener = context.listener
        budget = listener.admission.budget
        size = budget.total_bytes - budget.used_bytes + lacking
        size -= len(make_post(size))
        handled = listener.handled
        listener.held.append(
            await listener.open(make_post(size) + bytes(size))
        )
        await wait_until(lambda: listener.handled > handled)

    context.run(send())


@then("each accepted request is answered")
def check_responses(context: Context) -> None:
    async def check() -> None:
        listener = context.listener
        listener.may_answer.set()
        for reader, _ in listener.held:
            async with asyncio.timeout(WAIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(RESPONSE), head
        assert not listener.errors, listener.errors[0]

    context.run(check())


@then("no accepted request is followed by a refusal")
def check_no_refusal(context: Context) -> None:
    async def check() -> None:
        for reader, _ in context.listener.held:
            rest = b""
            with suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    while part := await reader.read(1_000):
                        rest += part
            assert REFUSAL not in rest, rest

    context.run(check())


@then("the budget counts what the connections hold")
def check_count(context: Context) -> None:
    listener = context.listener
    held = 0
    for each in listener.connections:
        held += sum(request.size for request in each._requests.values())
        if each._refusal is None:
            held += each._meter.received_bytes
    used = listener.admission.budget.used_bytes
    assert used == held, (used, held)


@when("one connection sends requests without end behind one being handled")
def send_behind(context: Context) -> None:
    async def send() -> None:
        listener = context.listener
        quick = make_post(0, "/quick")
        first = quick + make_post(0) + 40 * quick
        writer = (await listener.open(first))[1]
        await wait_until(lambda: listener.handled == 1)
        listener.held.append((asyncio.StreamReader(), writer))
        request = make_post(60_000) + bytes(60_000)
        with suppress(TimeoutError, ConnectionError):
            for _ in range(1_000):
                writer.write(request)
                async with asyncio.timeout(1):
                    await writer.drain()

    context.run(send())


@then("the budget is kept")
def check_budget_kept(context: Context) -> None:
    budget = context.listener.admission.budget
    assert budget.used_bytes <= budget.total_bytes, budget.used_bytes


SENT: Final = {
    "a request and an empty line": (make_post(2, "/quick") + b"{}\r\n", b""),
    "a request, and an empty line later": (
        make_post(2, "/quick") + b"{}",
        b"\r\n",
    ),
    "a body after the response to its head": (make_post(2, "/early"), b"{}"),
    "nothing but an empty line": (b"", b"\r\n"),
}


@when("a connection has sent {what}")
def send_and_rest(context: Context, what: str) -> None:
    async def send() -> None:
        listener = context.listener
        first, second = SENT[what]
        reader, writer = await listener.open(first)
        listener.held.append((reader, writer))
        await wait_until(lambda: listener.connections)
        if first:
            await reader.readuntil(b"\r\n\r\n{}")
        (connection,) = listener.connections
        if second:
            writer.write(second)
            await wait_until(
                lambda: connection._is_counting == (second == b"\r\n")
            )

    context.run(send())


@then("it is at rest, with a limit of time")
def check_rest(context: Context) -> None:
    (connection,) = context.listener.connections
    assert not connection._meter.has_begun

    async def check() -> None:
        connection.timeout_keep_alive = 0
        connection._check_rest()
        assert connection.transport.is_closing()

    context.run(check())


@given("the settings of an entry with {max_fds:d} descriptors")
def make_entry_settings(context: Context, max_fds: int) -> None:
    settings = SiteEntrySettings(
        name="entry",
        data_centre="here",
        address="127.0.0.1",
        caller_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        metrics_port=3,
        store_address="127.0.0.1:4",
    )
    # A variable without a value is none.
    variables = {"VM_MAX_FDS": str(max_fds), "VM_MEMORY_MB": ""}
    context.entry_settings = add_vm_fields(settings, variables)
    assert context.entry_settings.memory_mb is None


@then("its callers get at most {connections:d} connections")
def check_caller_connections(context: Context, connections: int) -> None:
    assert context.entry_settings.caller_connections == connections
