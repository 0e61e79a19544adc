"""Steps that check the bounds of requests with random bytes and claims."""

from __future__ import annotations

import asyncio
import re
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from behave import then
from hypothesis import example
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies
import uvicorn

from features.support.fake_transport import exchange_bytes
from fulmarscale.listeners.http_admission import RequestAdmission
from fulmarscale.listeners.http_connection import ObservableConnection
from fulmarscale.listeners.http_limits import Bound
from fulmarscale.listeners.http_limits import RequestLimits
from fulmarscale.listeners.http_limits import RequestMeter
from fulmarscale.listeners.http_server import make_protocol
from fulmarscale.listeners.request_budget import HolderId
from fulmarscale.listeners.request_budget import RequestBudget
from fulmarscale.platform.asgi import DisconnectedError
from fulmarscale.platform.asgi import read_body
from fulmarscale.platform.asgi import respond

if TYPE_CHECKING:
    from behave.runner import Context

LIMITS: Final = RequestLimits(
    empty_line_bytes=4,
    request_line_bytes=12,
    head_bytes=40,
    head_lines=5,
    chunk_extension_bytes=10,
    trailer_bytes=20,
    trailer_lines=3,
)
BUDGET_BYTES: Final = 100
ALPHABET: Final = (
    b"\r\n", b"\r", b"\n", b"0", b"3", b"a", b";", b"G /", b"a:b\r\n",
    b"\r\n\r\n", b"0\r\n", b"2\r\nab\r\n", b"0\r\n\r\n", b"aaaaaaaaaa",
)  # fmt: skip
RUN = settings(
    max_examples=400, derandomize=True, deadline=None, database=None
)

Verdict = tuple[tuple[int, ...], Bound | None]

stream = strategies.lists(strategies.sampled_from(ALPHABET), max_size=40).map(
    b"".join
)
cuts = strategies.lists(strategies.integers(1, 7), max_size=30)
framing = strategies.sampled_from([(0, False), (5, False), (0, True)])


def judge(data: bytes, sizes: list[int], body: tuple[int, bool]) -> Verdict:
    """Return where requests end, and the bound that ends it all."""
    meter = RequestMeter(LIMITS)
    ends = []
    base = 0
    for piece in split(data, sizes):
        position = 0
        while position < len(piece):
            position, bound = meter.advance(piece, position)
            if bound is not None:
                return tuple(ends), bound
            if meter.awaits_framing:
                length, is_chunked = body
                meter.begin_body(length, is_chunked=is_chunked)
            if meter.has_ended:
                ends.append(base + position)
        base += len(piece)
    return tuple(ends), None


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [*pieces, data]


@then("any bytes give the same verdict in any pieces")
def check_any_split(context: Context) -> None:
    @RUN
    @any_of(stream, cuts, framing)
    @example(b"a" * 13, [5, 5], (0, False))
    @example(b"G /\r\n" + b"a:b\r\n" * 9, [9, 9], (0, False))
    @example(b"G\r\n\r\n0\r\n\r\nG\r\n\r\n", [6, 1], (0, True))
    def check(data: bytes, sizes: list[int], body: tuple[int, bool]) -> None:
        whole = judge(data, [], body)
        assert judge(data, sizes, body) == whole
        assert judge(data, [1] * len(data), body) == whole

    check()


@then("any sound requests are told apart in any pieces")
def check_sound(context: Context) -> None:
    requests = strategies.sampled_from(
        [
            b"G /\r\n\r\n0\r\n\r\n",
            b"G /\r\na: b\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            b"\r\nG /\r\n\r\n00A;x=y\r\n0123456789\r\n0\r\na: b\r\n\r\n",
        ]
    )

    @RUN
    @any_of(strategies.lists(requests, min_size=1, max_size=4), cuts)
    def check(sent: list[bytes], sizes: list[int]) -> None:
        ends, bound = judge(b"".join(sent), sizes, (0, True))
        expected = [len(b"".join(sent[: i + 1])) for i in range(len(sent))]
        assert (list(ends), bound) == (expected, None)

    check()


POOL: Final = (
    b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\nx: y\r\n\r\n",
    b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /none HTTP/1.1\r\nContent-Length: 60\r\n\r\n" + b"x" * 60,
    b"POST /a HTTP/1.1\r\nContent-Length: 60\r\n\r\n" + b"x" * 60,
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"28\r\n%b\r\n" % (b"x" * 40) * 2
    + b"0\r\n\r\n",
    b"\r\nGET /b HTTP/1.1\r\n\r\n",
    b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
    b"BAD\r\n\r\n",
    b"GET /a HTTP/1.1\r\n" + b"a: b\r\n" * 300 + b"\r\n",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
)
SOUND: Final = POOL[:8]
MAX_BODY_BYTES: Final = 50


async def echo(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Respond with a request's body."""
    if scope["path"] == "/none":
        await respond(send, 404)
        return
    try:
        body = await read_body(scope, receive, MAX_BODY_BYTES)
    except DisconnectedError:
        return
    if body is None:
        await respond(send, 413)
    else:
        await respond(send, 200, b"[%b]" % body)


async def answer(
    pieces: list[bytes], turns: int, make_connection: Any = None
) -> list[bytes]:
    """Return the statuses and bodies of all responses."""
    config = uvicorn.Config(echo, ws="none", lifespan="off", log_config=None)
    config.load()
    admission = RequestAdmission(RequestLimits())
    written = await exchange_bytes(
        config,
        make_connection or make_protocol(admission, lambda: MAX_BODY_BYTES),
        pieces,
        turns,
    )
    assert admission.budget.used_bytes == 0
    admission.close()
    return re.findall(rb"HTTP/1.1 (\d+)|(\[[a-z]*\])", written)


@then("any requests get the same responses in any pieces")
def check_responses(context: Context) -> None:
    @RUN
    @any_of(
        strategies.lists(strategies.sampled_from(POOL), max_size=6),
        strategies.lists(strategies.integers(1, 200), max_size=30),
        strategies.sampled_from([0, 1, 20]),
    )
    # A piece that ends within the head of the next request.
    @example([POOL[2], POOL[6], POOL[5]], [48], 1)
    def check(sent: list[bytes], sizes: list[int], turns: int) -> None:
        data = b"".join(sent)
        whole = asyncio.run(answer([data], 0))
        assert asyncio.run(answer(split(data, sizes), turns)) == whole

    check()


@then("any sound requests get those of a connection without bounds")
def check_like_before(context: Context) -> None:
    @RUN
    @any_of(strategies.lists(strategies.sampled_from(SOUND), max_size=6))
    def check(sent: list[bytes]) -> None:
        data = b"".join(sent)
        plain = asyncio.run(answer([data], 0, ObservableConnection))
        assert asyncio.run(answer([data], 0)) == plain

    check()


@then("any claims leave the budget kept and complete requests served")
def check_budget(context: Context) -> None:
    claim = strategies.tuples(
        strategies.integers(1, 6),
        strategies.integers(0, 150),
        strategies.floats(0, 3),
        strategies.sampled_from([0.0, 0.5, 1.0]),
    )

    @RUN
    @any_of(strategies.lists(claim, max_size=40))
    def check(claims: list[tuple[int, int, float, float]]) -> None:
        budget = RequestBudget(BUDGET_BYTES)
        held: dict[int, tuple[int, int]] = {}
        now = 0.0
        for holder, size, passed_s, share in claims:
            now += passed_s
            complete_size = int(size * share)
            answer = budget.claim(
                HolderId(holder), size, now, complete_size=complete_size
            )
            for each in answer.displaced:
                held_size, whole = held[each]
                assert whole < held_size, "a complete request was displaced"
                held[each] = (whole, whole)
            complete = sum(
                whole for key, (_, whole) in held.items() if key != holder
            )
            if answer.is_granted:
                held[holder] = (size, complete_size)
            elif complete_size == size:
                assert complete + size > BUDGET_BYTES, "room was refused"
            total = sum(n for n, _ in held.values())
            assert budget.used_bytes == total
            holders = sum(n > 0 for n, _ in held.values())
            assert total <= BUDGET_BYTES or holders == 1, held

    check()
