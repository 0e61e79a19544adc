"""Steps that check the bounds of frames and the turns of connections."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from itertools import chain
from itertools import repeat
import struct
from typing import Final
from typing import TYPE_CHECKING

from behave import then
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies

from features.support.busy_crowd import DATA
from features.support.busy_crowd import HEADERS
from features.support.busy_crowd import make_frame
from features.support.busy_crowd import PING
from features.support.busy_crowd import PREFACE
from features.support.busy_crowd import SETTINGS
from features.support.busy_crowd import WINDOW_UPDATE
from fulmarscale.listeners.work_turns import FREE_UNITS
from fulmarscale.listeners.work_turns import PASS_UNITS
from fulmarscale.listeners.work_turns import TURN_UNITS
from fulmarscale.listeners.work_turns import TurnTaker
from fulmarscale.listeners.work_turns import WorkTurns
from fulmarscale.runs.streams import MessageQueue
from fulmarscale.wire.frame_meter import FrameMeter
from fulmarscale.wire.frame_meter import StreamLimits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from behave.runner import Context

    from fulmarscale.listeners.http_limits import Bound

RUN = settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
LIMITS: Final = StreamLimits(
    streams=2,
    header_bytes=40,
    settings=3,
    control_frames=4,
    control_frames_per_s=1,
    framing_bytes=20,
)
CONTINUATION: Final = 9

Verdict = tuple[int, "Bound | None"]


def judge(pieces: Iterable[bytes], limits: StreamLimits) -> Verdict:
    """Return the bytes that are taken, and the bound that ends it all."""
    meter = FrameMeter(limits)
    taken_bytes = 0
    for piece in pieces:
        position = 0
        while position < len(piece):
            start = position
            position, bound = meter.advance(piece, start, lambda: 1.0, 3)
            taken_bytes += position - start
            if bound is not None:
                return taken_bytes, bound
    return taken_bytes, None


@then("any frames give the same verdict in any pieces")
def check_any_split(context: Context) -> None:
    kinds = strategies.integers(0, 11)
    frames = strategies.lists(
        strategies.tuples(kinds, strategies.integers(0, 30)), max_size=12
    )
    cuts = strategies.lists(strategies.integers(1, 15), max_size=40)

    @RUN
    @any_of(frames, cuts)
    def check(sent: list[tuple[int, int]], sizes: list[int]) -> None:
        data = PREFACE + b"".join(
            make_frame(kind, bytes(size)) for kind, size in sent
        )
        rest = data
        pieces = []
        for size in sizes:
            pieces.append(rest[:size])
            rest = rest[size:]
        whole = judge([data], LIMITS)
        assert judge([*pieces, rest], LIMITS) == whole
        assert judge([data[i : i + 1] for i in range(len(data))], LIMITS) == (
            whole
        )

    check()


SENT: Final[dict[str, Iterable[bytes]]] = {
    "opened streams": (
        make_frame(HEADERS, bytes(90), stream=n) for n in range(1, 99, 2)
    ),
    "a long list of fields": chain(
        [make_frame(HEADERS, bytes(800), flags=0, stream=1)],
        repeat(make_frame(CONTINUATION, bytes(800), stream=1)),
    ),
    "pings": repeat(make_frame(PING, bytes(8))),
    "frames without content": repeat(make_frame(DATA, stream=1)),
    "messages without bytes": repeat(make_frame(DATA, bytes(5), stream=1)),
    "a frame of 16 MB": [struct.pack(">IBI", 0xFFFFFF << 8, 0, 1)],
    "many settings": repeat(
        make_frame(SETTINGS, struct.pack(">HIHIHI", 9, 1, 10, 1, 11, 1))
    ),
}


@then('{what} exceed the bound "{bound}" after at most {count:d} bytes')
def check_bound(context: Context, what: str, bound: str, count: int) -> None:
    taken_bytes, found = judge(chain([PREFACE], SENT[what]), StreamLimits())
    assert found is not None
    assert found.value == bound, found
    assert taken_bytes <= count, taken_bytes


@then("{count} messages with their acknowledgements exceed no bound")
def check_ordinary_session(context: Context, count: str) -> None:
    messages = int(count.replace(",", ""))
    meter = FrameMeter(StreamLimits())
    opening = PREFACE + make_frame(SETTINGS, bytes(18))
    opening += make_frame(HEADERS, bytes(200), stream=1)
    message = make_frame(DATA, bytes(30), stream=1)
    update = make_frame(WINDOW_UPDATE, bytes(4))
    now = 0.0
    for number in range(messages):
        data = opening if number == 0 else message
        if number % 50 == 0:
            data += update
            now += 0.1
        if not meter.take_message(data):
            clock = partial(float, now)
            end, bound = meter.advance(data, 0, clock, 100)
            assert (end, bound) == (len(data), None), number


class Peer:
    """The stream to a peer that takes a number of messages."""

    def __init__(self, messages: int) -> None:
        self._window = messages

    async def send_message(self, message: str) -> None:
        self._window -= 1
        while self._window < 0:
            await asyncio.sleep(3600)


async def queue_messages(rate: int, seconds: int, window: int) -> bool:
    """Queue messages for a peer, and return whether its stream is closed."""
    now = 0.0
    queue: MessageQueue[str] = MessageQueue(lambda: now)
    sender = asyncio.create_task(queue.send_all(Peer(window)))
    closed = asyncio.create_task(queue.wait_closed())
    for _ in range(seconds):
        now += 1.0
        for _ in range(rate):
            queue.put("message")
            await asyncio.sleep(0)
    await asyncio.sleep(0)
    sender.cancel()
    closed.cancel()
    return closed.done()


@then("a stream that sends a message a second is not closed")
def check_sending(context: Context) -> None:
    assert not asyncio.run(queue_messages(1, 100, 1_000))


@then("a stream that sends none is closed with 33 messages after 4 s")
def check_stuck(context: Context) -> None:
    # The first message is taken in the first second.
    assert not asyncio.run(queue_messages(11, 4, 0))
    assert asyncio.run(queue_messages(11, 5, 0))


class Worker(TurnTaker):
    """A connection with work to do."""

    def __init__(
        self, turns: WorkTurns, units: int, log: list[tuple[Worker, int]]
    ) -> None:
        self._turns = turns
        self.units = units
        self._log = log

    def take_turn(self) -> None:
        done = min(self.units, FREE_UNITS)
        if done < self.units:
            done += min(self.units - done, self._turns.grant())
        self.units -= done
        self._log.append((self, done))
        if self.units:
            self._turns.defer(self)


@then("any connections get their turns in order and in bounded passes")
def check_turns(context: Context) -> None:
    @RUN
    @any_of(
        strategies.lists(strategies.integers(1, 9_000), max_size=40),
        strategies.lists(strategies.integers(0, 20), max_size=10),
    )
    def check(work: list[int], arrivals: list[int]) -> None:
        passes: deque[Callable[[], None]] = deque()
        turns = WorkTurns(passes.append)
        log: list[tuple[Worker, int]] = []
        workers = [Worker(turns, units, log) for units in work]
        late = deque(workers[len(arrivals) :])
        for worker in workers[: len(arrivals)]:
            turns.defer(worker)
        while passes or late:
            if late:
                turns.defer(late.popleft())
            assert len(passes) == 1
            log.clear()
            waiting = turns.waiting
            passes.popleft()()
            done = sum(units for _, units in log)
            assert done <= PASS_UNITS + TURN_UNITS + FREE_UNITS, done
            assert all(units <= TURN_UNITS + FREE_UNITS for _, units in log), (
                log
            )
            # Each one that waited goes on before any goes on twice.
            first = [worker for worker, _ in log[:waiting]]
            assert len(set(first)) == len(first), first
        assert not any(worker.units for worker in workers)

    check()
