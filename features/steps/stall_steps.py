"""Steps that test a process whose event loop is held up by other work."""

from __future__ import annotations

import asyncio
from threading import Thread
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.http_client import RequestError
from standins.http_stub import HttpStub
from standins.http_stub import StubResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from behave.runner import Context


class ServerThread:
    """Runs a server in the event loop of a thread of its own.

    :param start: starts the server.
    :param close: stops it.
    """

    def __init__(
        self,
        start: Callable[[], Awaitable[None]],
        close: Callable[[], Awaitable[None]],
    ) -> None:
        self._close = close
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run(start)

    def close(self) -> None:
        """Stop the server and end the thread."""
        self._run(self._close)
        self._run(self._cancel_rest)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel_rest(self) -> None:
        """Cancel what the server has left running."""
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    def _run(self, call: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            await call()

        asyncio.run_coroutine_threadsafe(run(), self._loop).result()


async def hold_up(pause_s: float) -> None:
    """Hold up the event loop at each of its turns."""
    while True:
        time.sleep(pause_s)
        await asyncio.sleep(0)


@given("a server in a thread of its own that responds at once")
def start_http_server(context: Context) -> None:
    context.stub = HttpStub(lambda request: StubResponse(200))
    thread = ServerThread(context.stub.start, context.stub.close)
    context.add_cleanup(thread.close)


@given("an event loop that is held up for {s:g} s at each turn")
def set_hold_up(context: Context, s: float) -> None:
    context.hold_up_s = s


@when("a call with a timeout of {s:g} s is made on a new connection")
def call_while_held_up(context: Context, s: float) -> None:
    async def run() -> None:
        client = HttpClient(context.stub.address, 1)
        busy = asyncio.create_task(hold_up(context.hold_up_s))
        try:
            response = await client.call("GET", "/x", b"", s)
            context.call_result = response.status
        except RequestError as error:
            context.call_result = error.detail
        busy.cancel()
        client.close()

    asyncio.run(run())


@then("the call gets a response")
def check_call(context: Context) -> None:
    assert context.call_result == 200, context.call_result
