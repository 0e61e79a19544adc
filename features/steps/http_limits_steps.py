"""Steps that check the bounds of requests with random bytes and claims."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from behave import then
from hypothesis import example
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies

from fulmarscale.http_limits import Bound
from fulmarscale.http_limits import RequestLimits
from fulmarscale.http_limits import RequestMeter
from fulmarscale.request_budget import HolderId
from fulmarscale.request_budget import RequestBudget

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


@then("any claims leave the budget kept and complete requests served")
def check_budget(context: Context) -> None:
    claim = strategies.tuples(
        strategies.integers(1, 6),
        strategies.integers(0, 150),
        strategies.floats(0, 3),
        strategies.booleans(),
    )

    @RUN
    @any_of(strategies.lists(claim, max_size=40))
    def check(claims: list[tuple[int, int, float, bool]]) -> None:
        budget = RequestBudget(BUDGET_BYTES)
        held: dict[int, tuple[int, bool]] = {}
        now = 0.0
        for holder, size, passed_s, is_complete in claims:
            now += passed_s
            answer = budget.claim(
                HolderId(holder), size, now, is_complete=is_complete
            )
            for each in answer.displaced:
                assert not held[each][1], "a complete request was displaced"
                del held[each]
            complete = sum(
                n
                for key, (n, whole) in held.items()
                if key != holder and whole
            )
            if answer.is_granted:
                held[holder] = (size, is_complete)
            elif is_complete:
                assert complete + size > BUDGET_BYTES, "room was refused"
            total = sum(n for n, _ in held.values())
            assert budget.used_bytes == total
            holders = sum(n > 0 for n, _ in held.values())
            assert total <= BUDGET_BYTES or holders == 1, held

    check()
