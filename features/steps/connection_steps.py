"""Steps that test callers that leave, over real connections on loopback."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import socket
import struct
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps.platform_steps import FakeJobService
from features.steps.platform_steps import JOB
from features.steps.platform_steps import LOG
from fulmarscale.listeners.http_server import AsgiServer
from fulmarscale.platform.ingress import IngressApp
from standins.ports import PORTS

if TYPE_CHECKING:
    from behave.runner import Context

SETTLE_S: Final = 0.3
"""Time for the server to handle what has arrived."""

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a socket is reset when it is closed."""


def make_request(job: str) -> bytes:
    """Return a request that submits a best-effort job."""
    body = msgspec.json.encode(JOB)
    head = (
        f"POST /quick/{job} HTTP/1.1\r\nHost: site.example\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@given("an ingress on loopback that never responds")
def make_ingress_on_loopback(context: Context) -> None:
    context.job_service = FakeJobService(None)
    context.port = PORTS.pick()


async def serve(context: Context, caller: object) -> None:
    """Serve the ingress while a caller uses it.

    :param context: holds the job service and the port.
    :param caller: a coroutine function that gets the caller's socket.
    """
    app = IngressApp(context.job_service, LOG)
    server = AsgiServer(app, "127.0.0.1", context.port)
    server.start()
    await asyncio.sleep(SETTLE_S)
    connection = socket.create_connection(("127.0.0.1", context.port))
    try:
        await caller(connection)
        await asyncio.sleep(SETTLE_S)
        context.submitted = list(context.job_service.submitted)
        context.disconnected = list(context.job_service.disconnected)
    finally:
        connection.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                await server.close()


@when("a caller submits a job and {action} before the entry reads it")
def leave_before_reading(context: Context, action: str) -> None:
    async def call(connection: socket.socket) -> None:
        # The server shares this event loop, so that it reads nothing yet.
        connection.sendall(make_request("0011"))
        if action == "resets the connection":
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        if action != "stays":
            connection.close()

    asyncio.run(serve(context, call))


@when("a caller submits two jobs at once and leaves")
def leave_with_two_jobs(context: Context) -> None:
    async def call(connection: socket.socket) -> None:
        connection.sendall(make_request("0011") + make_request("0012"))
        await asyncio.sleep(SETTLE_S)
        connection.close()

    asyncio.run(serve(context, call))


@then("{count:d} jobs were submitted")
def check_submitted(context: Context, count: int) -> None:
    assert len(context.submitted) == count, context.submitted


@then("the caller of the first job was withdrawn")
def check_withdrawn(context: Context) -> None:
    assert context.disconnected == ["0011"], context.disconnected
