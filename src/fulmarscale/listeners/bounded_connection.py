"""HTTP connections that hold a bounded part of what clients send.

All servers of the programs use this protocol. It splits what arrives at the
ends of requests, counts the bytes that a connection holds against the
process's budget, and refuses clients that exceed a bound.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from httptools import HttpParserError
from httptools import HttpParserUpgrade

from fulmarscale.listeners.connection_room import Rank
from fulmarscale.listeners.connection_room import RankedConnection
from fulmarscale.listeners.held_request import HeldRequest
from fulmarscale.listeners.held_request import line_objects
from fulmarscale.listeners.held_request import make_refusal
from fulmarscale.listeners.http_admission import Holder
from fulmarscale.listeners.http_connection import CONNECTION_EXTENSION
from fulmarscale.listeners.http_connection import MAX_PIPELINED_REQUESTS
from fulmarscale.listeners.http_connection import ObservableConnection
from fulmarscale.listeners.http_connection import ReadGate
from fulmarscale.listeners.http_limits import Bound
from fulmarscale.listeners.http_limits import HEAD_END
from fulmarscale.listeners.http_limits import LINE_END
from fulmarscale.listeners.http_limits import RequestMeter
from fulmarscale.listeners.request_budget import MIN_HELD_S
from fulmarscale.listeners.unread_answers import UnreadAnswers
from fulmarscale.listeners.work_turns import FREE_UNITS
from fulmarscale.listeners.work_turns import TurnTaker

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from uvicorn.config import Config
    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle
    from uvicorn.server import ServerState

    from fulmarscale.listeners.connection_room import ConnectionRoom
    from fulmarscale.listeners.http_admission import RequestAdmission

READ_BYTES: Final = 64 << 10
"""The most bytes that are read from a connection at once."""

SMALL_BYTES: Final = 4 << 10
"""Bytes that arrive at once up to which whole requests are not counted.

They can exceed no bound if they also have at most SMALL_LINES lines, nor be
more than MAX_PIPELINED_REQUESTS.
"""

SMALL_LINES: Final = 2 * MAX_PIPELINED_REQUESTS

WRITE_BUFFER_BYTES: Final = 16 << 10
"""Bytes of answers that wait for a client, above which it gets no more."""

CHUNKED_BYTES: Final = 16 << 10
"""Bytes that are claimed for a body in chunks before it is collected."""

LINGER_S: Final = 2.0
"""How long a refused client may take to read its answer and to close."""

REST_S: Final = 4.0
"""How long the rest of a body may arrive after its request was answered."""

STOP_RECEIVE_S: Final = 1.0
"""How long a request may go on to arrive once the process is to stop.

Answers that are not read are dropped as late as this, too.
"""

MAX_STOP_ROUNDS: Final = 4
"""How often STOP_RECEIVE_S passes until answers that are read slowly are
dropped, too."""

SPARE_CONNECTIONS: Final = 32
"""Connections above the limit that get an answer before they are closed."""


class BoundedConnection(
    ObservableConnection, Holder, TurnTaker, RankedConnection
):
    """An HTTP connection with bounds on what it receives and holds.

    :param admission: decides on the bytes of all connections.
    :param room: finds connections of the listener that make room.
    :param max_body_bytes: returns the limit of a body.
    """

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
        *,
        admission: RequestAdmission,
        room: ConnectionRoom,
        max_body_bytes: Callable[[], int],
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self.holder_id = admission.next_id()
        self._extensions[CONNECTION_EXTENSION]["connection"] = self
        self._admission = admission
        self._room = room
        self._max_body_bytes = max_body_bytes
        self._meter = RequestMeter(admission.limits)
        self._requests: dict[RequestResponseCycle, HeldRequest] = {}
        """The requests whose head is complete and that are not answered."""
        self._unparsed = bytearray()
        """What has arrived behind the most pipelined requests, or waits for a
        turn. Nothing more is read until it is parsed."""
        self._present: HeldRequest | None = None
        """The request whose body arrives; none while a head does."""
        self._discarded_bytes = 0
        """Bytes of the present request's body that were dropped."""
        self._completions = 0
        """Requests that the parser has completed in the last piece."""
        self._heads: list[list[tuple[bytes, bytes]]] | None = None
        """Headers of the requests in a piece that the meter has not seen."""
        self._begun_at = 0.0
        """When the present request began, later by delays of this process."""
        self._checked_at = 0.0
        """When the time of the present request was last checked."""
        self._unread = UnreadAnswers(admission.limits)
        self._is_last = False
        """Whether the last request on the connection has arrived."""
        self._is_counting = False
        """Whether the meter follows a request, or the client is refused."""
        self._stop_rounds = 0
        """How often the connection was checked while the process stops."""
        self._stop_bytes = 0
        """Bytes of answers that waited for the client then."""
        self._refusal: Bound | None = None
        self._is_answered = False
        """Whether the refused request has had a response."""
        self._is_lingering = False
        self._has_requested = False
        self._active_at = 0.0
        self._claimed_bytes = 0
        self._complete_bytes = 0
        """Those of the claimed bytes that belong to whole requests."""

    @property
    def rank(self) -> Rank | None:
        """Its place in the order in which connections make room.

        Those that never sent a request, then those whose request arrives
        slowly, then those at rest, then those that have just connected or
        whose request has just begun. None for one that makes no room.
        """
        if self.transport.is_closing():
            return None
        if self._is_lingering:
            return Rank(0, self._active_at)
        if self._has_complete:
            return None
        now = self.loop.time()
        if self._meter.has_begun:
            is_slow = now - self._begun_at >= MIN_HELD_S
            return Rank(1 if is_slow else 4, self._begun_at)
        if self._has_requested:
            return Rank(2, self._active_at)
        # The first request of a new connection may be on its way.
        is_slow = now - self._active_at >= MIN_HELD_S
        return Rank(0 if is_slow else 3, self._active_at)

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Prepare to read, and make room for the connection."""
        super().connection_made(transport)
        self.flow = self._gate = ReadGate(transport)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._active_at = self.loop.time()
        self._set_rest_timer(self._active_at)
        limit = self.limit_concurrency
        if limit is not None and len(self.connections) >= limit:
            self._make_room(limit)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what the connection holds."""
        self._unset_keepalive_if_required()
        super().connection_lost(exc)
        self._requests.clear()
        self._unparsed.clear()
        self._admission.turns.discard(self)
        self._admission.release(self)

    def data_received(self, data: bytes) -> None:
        """Take what has arrived."""
        cycle = self.cycle
        if (
            not self._is_counting
            and len(data) <= SMALL_BYTES
            and (cycle is None or cycle.response_complete)
            and data[0] not in LINE_END
            and data.count(b"\n") <= SMALL_LINES
        ):
            self._parse_small(data)
        elif self._refusal is not None or self._is_last:
            self._discard(len(data))
        elif self._unparsed:
            self._hold_back(data)
            self._claim()
        else:
            self._is_counting = True
            self._parse(data)
            self._update_counting()

    def on_headers_complete(self) -> None:
        """Tell the framing of the body, and start or queue the request."""
        super().on_headers_complete()
        if self._heads is not None:
            self._heads.append(self.headers)
            return
        self._begin_present(*_read_framing(self.headers))

    def _begin_present(self, length: int, is_chunked: bool) -> None:
        """Count the request whose head is complete from now on.

        :param length: the length of its body, unless that is in chunks.
        :param is_chunked: whether its body is in chunks.
        """
        limit = self._max_body_bytes()
        # A body in chunks may come to any length, and claims what arrives.
        expected = min(CHUNKED_BYTES, limit) if is_chunked else length
        self._present = HeldRequest(
            self._meter.received_bytes, expected, limit
        )
        self._present.lines = self._meter.lines
        self._present.is_queued = self._is_queued(self.cycle)
        self._discarded_bytes = 0
        self._has_requested = True
        self._requests[self.cycle] = self._present
        self._meter.begin_body(length, is_chunked=is_chunked)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body, up to the listener's limit."""
        if self._heads is not None:
            self.cycle.body += body
            self.cycle.message_event.set()
            return
        request = self._present
        if (
            request is None
            or request.is_discarding
            or self.cycle.response_complete
        ):
            self._discarded_bytes += len(body)
            return
        request.size += len(body)
        if request.size > request.limit:
            request.is_discarding = True
            self.cycle.body.clear()
            self.cycle.message_event.set()
            return
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete the request."""
        self._completions += 1
        cycle = self.cycle
        if not cycle.response_complete:
            cycle.more_body = False
            cycle.message_event.set()

    def on_response_complete(self) -> None:
        """Go on with what waits behind the answered request."""
        self.server_state.total_requests += 1
        if self._requests and self._handled is not None:
            self._requests.pop(self._handled, None)
        self._active_at = self.loop.time()
        if not self.transport.is_closing():
            self.flow.resume_reading()
            if self.pipeline:
                self._start_asgi_task(*self.pipeline.pop())
        if self.transport.get_write_buffer_size() > 0:
            self._watch_stall()
        if self._unparsed:
            self._admission.turns.defer(self)
        elif self._refusal is not None and not self._has_complete:
            self._send_refusal()
        if self._claimed_bytes:
            self._claim()

    def pause_writing(self) -> None:
        """Hold back answers, and expect the client to read."""
        super().pause_writing()
        self._watch_stall()

    def resume_writing(self) -> None:
        """Go on with the answers."""
        super().resume_writing()
        self._unread.end()

    def shutdown(self) -> None:
        """Close once what has arrived is answered."""
        super().shutdown()
        if not self.transport.is_closing() or self._pending_bytes:
            self.loop.call_later(STOP_RECEIVE_S, self._stop)

    def give_way(self) -> None:
        """Refuse the incomplete request, as others need its bytes."""
        self._claimed_bytes = self._complete_bytes
        self._refuse(Bound.BUDGET)

    def check(self, now: float, late_s: float) -> bool:
        """Refuse a request that arrives, or a client that reads, too slowly.

        :param now: the event loop's time.
        :param late_s: how long the process was held up.
        :returns: whether the connection has to be checked again.
        """
        if self.parser is None:
            return False
        limits = self._admission.limits
        pending_bytes = self._pending_bytes
        if self._unread.is_overdue(now, late_s, pending_bytes):
            self._record(Bound.SEND_TIME)
            self.transport.abort()
            return False
        if self._unread.is_waiting:
            return True
        if not self._meter.has_begun or self._refusal is not None:
            return False
        if self.flow.read_paused:
            self._begun_at += late_s + now - self._checked_at
        else:
            self._begun_at += late_s
        self._checked_at = now
        if self._present is not None and self.cycle.response_complete:
            if now - max(self._active_at, self._begun_at) > REST_S:
                self._record(Bound.RECEIVE_TIME)
                self.transport.abort()
                return False
            return True
        allowed_s = limits.receive_time_s(self._meter.received_bytes)
        if now - self._begun_at > allowed_s:
            self._refuse(Bound.RECEIVE_TIME)
            return False
        return True

    @property
    def _pending_bytes(self) -> int:
        """Bytes of answers that wait for the client to read."""
        return self.transport.get_write_buffer_size()

    def _set_rest_timer(self, began_at: float) -> None:
        """Check later whether the connection has been at rest for too long.

        One timer serves many requests.

        :param began_at: when it began to rest, by the event loop's time.
        """
        self.timeout_keep_alive_task = self.loop.call_at(
            began_at + self.timeout_keep_alive, self._check_rest
        )

    def _check_rest(self) -> None:
        """Close the connection if it has been at rest for too long."""
        if self.transport.is_closing():
            return
        now = self.loop.time()
        cycle = self.cycle
        is_at_rest = (cycle is None or cycle.response_complete) and not (
            self._meter.has_begun or self._unparsed
        )
        if not is_at_rest:
            self._set_rest_timer(now)
        elif now - self._active_at < self.timeout_keep_alive:
            self._set_rest_timer(self._active_at)
        else:
            self.transport.close()

    def _update_counting(self) -> None:
        """Find out whether a request or a refusal is in progress."""
        self._is_counting = (
            self._meter.received_bytes > 0
            or bool(self._unparsed)
            or self._refusal is not None
            or self._is_last
        )

    @property
    def _has_complete(self) -> bool:
        """Whether a request that has arrived as a whole is not answered."""
        handled = self._handled
        return handled is not None and not (
            handled.response_complete
            or handled.disconnected
            or handled.more_body
        )

    def _parse_small(self, data: bytes) -> None:
        """Pass a piece to the parser that can exceed no bound.

        The meter sees it only if it is not just one whole request.
        """
        heads = self._heads = []
        self._completions = 0
        self._feed(data)
        self._heads = None
        if self._refusal is not None or self.transport.is_closing():
            return
        if (
            self._completions == 1
            and len(heads) == 1
            and self.headers is heads[0]
            and (
                data[-1] not in LINE_END
                or data.find(HEAD_END) == len(data) - len(HEAD_END)
            )
        ):
            self._has_requested = True
            return
        self._is_counting = True
        self._catch_up(data, heads)
        self._update_counting()

    def _feed(self, data: bytes | memoryview) -> None:
        """Pass bytes to the parser; refuse those that are malformed."""
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self._refuse(Bound.FRAMING)
        except HttpParserUpgrade:
            # The request is handled without the upgrade.
            return

    def _catch_up(
        self, data: bytes, heads: list[list[tuple[bytes, bytes]]]
    ) -> None:
        """Let the meter follow a piece that the parser has had already.

        Requests that are complete with it are not counted.

        :param data: the piece.
        :param heads: the headers of each request in it.
        """
        meter = self._meter
        self._begun_at = self._checked_at = self.loop.time()
        begun = 0
        ended = 0
        position = 0
        while position < len(data):
            position, bound = meter.advance(data, position)
            if bound is None and meter.awaits_framing:
                if begun == len(heads):
                    bound = Bound.FRAMING
                else:
                    length, is_chunked = _read_framing(heads[begun])
                    begun += 1
                    if begun < len(heads) or begun == self._completions:
                        meter.begin_body(length, is_chunked=is_chunked)
                    else:
                        self._begin_present(length, is_chunked)
            if bound is not None:
                self._refuse(bound)
                return
            ended += meter.has_ended
            is_last = meter.has_ended and ended == len(heads)
            if is_last and not self.cycle.keep_alive:
                self._is_last = True
                break
        if begun != len(heads) or ended != self._completions:
            self._refuse(Bound.FRAMING)
            return
        if self._present is not None:
            self._present.size += meter.body_bytes
            if self._present.is_discarding:
                self.cycle.body.clear()
        if self.pipeline:
            self._count_queued()
        elif meter.has_begun:
            self._claim()

    def _parse(self, data: bytes) -> None:
        """Pass what has arrived to the parser, one part at a time."""
        meter = self._meter
        turns = self._admission.turns
        position = 0
        size = len(data)
        units = FREE_UNITS
        has_turn = False
        while position < size:
            if len(self.pipeline) > MAX_PIPELINED_REQUESTS:
                self._hold_back(data[position:])
                break
            if units <= 0 and not has_turn:
                has_turn = True
                units = turns.grant()
            if units <= 0:
                self._hold_back(data[position:])
                turns.defer(self)
                break
            if not meter.has_begun:
                self._begun_at = self._checked_at = self.loop.time()
            end, bound = meter.advance(data, position, units)
            units -= meter.steps
            if bound is not None:
                self._refuse(bound)
                return
            is_whole = position == 0 and end == size
            piece = data if is_whole else memoryview(data)[position:end]
            self._completions = 0
            self._feed(piece)
            if self._refusal is not None or self.transport.is_closing():
                return
            if meter.awaits_framing or self._completions != meter.has_ended:
                self._refuse(Bound.FRAMING)
                return
            if meter.has_ended:
                self._complete()
                if self._refusal is not None:
                    return
                if not self.cycle.keep_alive:
                    self._is_last = True
                    break
            position = end
        if self._discarded_bytes > self._admission.limits.discarded_bytes:
            self._refuse(Bound.DISCARDED)
        elif meter.has_begun or self._unparsed:
            self._claim()

    def _complete(self) -> None:
        """Count a complete request; without room, it is not to be run."""
        request, self._present = self._present, None
        self._discarded_bytes = 0
        if request is None or self.cycle.response_complete:
            if self._claimed_bytes:
                self._claim()
            return
        request.is_complete = True
        request.reserved_bytes = 0
        if self._claim():
            return
        if request.is_queued:
            self._refuse_queued()
            return
        request.is_denied = True
        request.size = request.lines = 0
        self.cycle.body.clear()
        self._claim()

    def _is_queued(self, cycle: RequestResponseCycle) -> bool:
        """Return whether a request waits behind the one being handled."""
        return bool(self.pipeline) and self.pipeline[0][0] is cycle

    def _count_queued(self) -> None:
        """Count the small requests that wait behind the one being handled."""
        for cycle, _ in self.pipeline:
            if cycle not in self._requests:
                request = self._requests[cycle] = HeldRequest(0, 0, 0)
                request.is_complete = request.is_queued = True
        if not self._claim():
            self._refuse_queued()

    def _refuse_queued(self) -> None:
        """Refuse requests that wait and have not begun, for lack of room."""
        while self.pipeline:
            self._requests.pop(self.pipeline.popleft()[0], None)
        self._refuse(Bound.BUDGET)

    def _hold_back(self, data: bytes) -> None:
        """Keep bytes that are parsed later, and read no more until then."""
        self._unparsed += data
        self._gate.shut()

    def take_turn(self) -> None:
        """Go on with what was held back."""
        if self.parser is None or not self._unparsed:
            return
        if len(self.pipeline) > MAX_PIPELINED_REQUESTS // 2:
            return
        data = bytes(self._unparsed)
        self._unparsed.clear()
        self._gate.open()
        try:
            self._parse(data)
        except Exception:
            self.transport.abort()
            raise
        self._update_counting()

    def _claim(self) -> bool:
        """Claim the bytes that the connection holds now.

        Without room, an incomplete request is refused.

        :returns: whether there is room.
        """
        is_incomplete = self._refusal is None and (
            bool(self._unparsed) or self._meter.has_begun
        )
        size = len(self._unparsed)
        if is_incomplete:
            self._admission.watch(self)
            lines = self._meter.lines
            if self._present is None:
                size += self._meter.received_bytes + line_objects(lines)
            else:
                self._present.lines = lines
        complete_bytes = 0
        for cycle, request in self._requests.items():
            if not cycle.response_complete:
                size += request.held_bytes
                if request.is_complete:
                    complete_bytes += request.held_bytes
        if (
            size == self._claimed_bytes
            and complete_bytes == self._complete_bytes
        ):
            return True
        if size == 0:
            self._release()
            return True
        if self._admission.claim(
            self,
            size,
            complete_size=complete_bytes,
            alone_bytes=self._alone_bytes,
        ):
            self._claimed_bytes = size
            self._complete_bytes = complete_bytes
            return True
        if is_incomplete:
            self._refuse(Bound.BUDGET)
        return False

    @property
    def _alone_bytes(self) -> int:
        """The most bytes of one request."""
        return self._admission.limits.head_bytes + self._max_body_bytes()

    def _release(self) -> None:
        """Claim nothing any longer."""
        self._claimed_bytes = self._complete_bytes = 0
        self._admission.release(self)

    def begin_body(self) -> bool:
        """Claim the room for the body of the request that is handled.

        :returns: whether there is room.
        """
        if not self._is_counting and not self._requests:
            return True
        request = self._handled_request
        if request is None:
            return self._has_complete
        if request.is_complete:
            return not request.is_denied
        size = self._claimed_bytes - request.size + request.expected_bytes
        if not self._admission.claim(
            self,
            size,
            complete_size=self._complete_bytes,
            alone_bytes=self._alone_bytes,
        ):
            return False
        request.reserved_bytes = request.expected_bytes
        self._claimed_bytes = size
        return True

    def hold_more(self, size: int) -> bool:
        """Claim bytes beyond those of the request that is handled.

        :param size: the bytes.
        :returns: whether there is room.
        """
        request = self._handled_request
        if request is None:
            if self.parser is None or self._handled is None:
                return False
            request = self._requests[self._handled] = HeldRequest(0, 0, 0)
            request.is_complete = True
        request.size += size
        if self._claim():
            return True
        request.size -= size
        return False

    @property
    def is_body_too_large(self) -> bool:
        """Whether the body of the request that is handled is too large."""
        if not self._requests:
            return False
        request = self._handled_request
        return request is not None and request.is_discarding

    @property
    def _handled_request(self) -> HeldRequest | None:
        if self._handled is None:
            return None
        return self._requests.get(self._handled)

    def _refuse(self, bound: Bound) -> None:
        """Refuse what arrives on the connection, and close it.

        Requests before it are answered first.
        """
        if self._refusal is not None or self.parser is None:
            return
        self._record(bound)
        self._refusal = bound
        self._is_counting = True
        self._unparsed.clear()
        self._gate.open()
        cycle = self.cycle
        if self.headers and (
            cycle is None or cycle.scope["headers"] is not self.headers
        ):
            # Those of an incomplete head, which no request uses.
            self.headers.clear()
        if cycle is not None and cycle.response_complete:
            self._is_answered = self._present is not None
            self._present = None
        elif cycle is not None and cycle.more_body:
            # It has not arrived as a whole, so that it was not decided.
            self._present = None
            self._requests.pop(cycle, None)
            if self.pipeline and self.pipeline[0][0] is cycle:
                self.pipeline.popleft()
            if cycle.response_started:
                self.transport.abort()
                return
            cycle.disconnected = True
            cycle.body.clear()
            cycle.message_event.set()
        if self._has_complete:
            self.flow.resume_reading()
            self._claim()
            return
        self._release()
        self._send_refusal()

    def _send_refusal(self) -> None:
        """Send the refusal and close, after the client could read it."""
        bound = self._refusal
        if bound is None or self._is_lingering or self.transport.is_closing():
            return
        self._is_lingering = True
        if not self._is_answered:
            self.transport.write(make_refusal(bound.status))
        self.flow.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.abort)

    def _discard(self, size: int) -> None:
        """Drop what a refused client sends, up to a bound."""
        self._discarded_bytes += size
        if self._discarded_bytes > self._admission.limits.discarded_bytes:
            self.transport.abort()

    def _record(self, bound: Bound) -> None:
        self._admission.record_refusal(
            bound,
            self._meter.received_bytes,
            self.loop.time() - self._begun_at if self._begun_at else 0.0,
            self.client,
        )

    def _watch_stall(self) -> None:
        """Expect the client to read, and note that it has read so far."""
        self._unread.begin(self.loop.time(), self._pending_bytes)
        self._admission.watch(self)

    def _make_room(self, limit: int) -> None:
        """Close the connection that was of the least use.

        :param limit: the limit of connections.
        """
        least = self._room.find_least(
            (each for each in self.connections if each is not self),
            self.loop.time(),
        )
        if isinstance(least, BoundedConnection):
            self._admission.record_refusal(
                Bound.CONNECTIONS,
                least._meter.received_bytes,
                self.loop.time() - least._active_at,
                least.client,
            )
            least.transport.abort()
            self.connections.discard(least)
        elif len(self.connections) > limit + SPARE_CONNECTIONS:
            self._admission.record_refusal(
                Bound.CONNECTIONS, 0, 0.0, self.client
            )
            self.transport.abort()

    def _stop(self) -> None:
        """Refuse what has not arrived, and drop what is not read."""
        if self.parser is None:
            return
        if self._meter.has_begun:
            self._refuse(Bound.STOPPING)
        self._stop_rounds += 1
        former_bytes, pending_bytes = self._stop_bytes, self._pending_bytes
        self._stop_bytes = pending_bytes
        is_unread = pending_bytes > 0 and (
            not self._has_complete
            or self._stop_rounds >= MAX_STOP_ROUNDS
            or (self._stop_rounds > 1 and pending_bytes >= former_bytes)
        )
        if self._is_lingering or is_unread:
            self.transport.abort()
        else:
            self.loop.call_later(STOP_RECEIVE_S, self._stop)


def _read_framing(headers: list[tuple[bytes, bytes]]) -> tuple[int, bool]:
    """Return the length of a body, and whether it is in chunks.

    :param headers: the headers of a request that the parser has accepted.
    """
    length = 0
    is_chunked = False
    for name, value in headers:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            is_chunked = True
    return length, is_chunked
