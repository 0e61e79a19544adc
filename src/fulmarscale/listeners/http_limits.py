"""Bounds of one HTTP/1.1 request, decided from its bytes alone.

This module does no I/O. The parser of the connection decides what a request
says; `RequestMeter` follows only where its parts end, so that a client can
exceed no bound by the way in which it splits what it sends.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated
from typing import Final

import msgspec

Bytes = Annotated[int, msgspec.Meta(gt=0, le=1 << 30)]
Count = Annotated[int, msgspec.Meta(gt=0, le=1_000_000)]

LINE_END: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"

PLAIN_CHUNK_LINE_BYTES: Final = 18
"""Bytes of a chunk's first line that don't count as extension.

A size of 16 digits and the end of the line.
"""

MAX_STEPS: Final = 256
"""Parts and lines of a request that are taken at once."""

HEX_DIGITS: Final = frozenset(b"0123456789abcdefABCDEF")

MAX_SIZE_DIGITS: Final = 16
"""The most digits of a chunk's size after leading zeros."""


class Bound(Enum):
    """A bound that a client has exceeded, with the status of the refusal."""

    status: int
    """The HTTP status with which the client is refused."""

    def __new__(cls, value: str, status: int) -> Bound:
        """Create a member from its name in logs and its status."""
        member = object.__new__(cls)
        member._value_ = value
        member.status = status
        return member

    EMPTY_LINES = "empty_lines", 400
    """Empty lines before a request."""
    REQUEST_LINE = "request_line", 431
    HEAD_BYTES = "head_bytes", 431
    HEAD_LINES = "head_lines", 431
    CHUNK_LINE = "chunk_line", 400
    """A chunk's size, or the extensions of all chunks of a body."""
    CHUNK_FRAMING = "chunk_framing", 400
    """Chunks whose framing outweighs their content."""
    TRAILER_BYTES = "trailer_bytes", 431
    TRAILER_LINES = "trailer_lines", 431
    MESSAGE_BYTES = "message_bytes", 413
    """The longest message of a stream."""
    FRAMING = "framing", 400
    """Where a part ends is not clear."""
    STREAMS = "streams", 400
    """The streams that are opened on a connection."""
    FRAMES = "frames", 400
    """Frames without content on a connection with streams."""
    FRAME_BYTES = "frame_bytes", 413
    """The longest frame."""
    SETTINGS = "settings", 400
    """The parameters that a client sets on a connection with streams."""
    DISCARDED = "discarded", 413
    """Bytes of a body that was refused and goes on."""
    RECEIVE_TIME = "receive_time", 408
    """The least rate at which a request has to arrive."""
    SEND_TIME = "send_time", 408
    """The least rate at which answers have to be read."""
    BUDGET = "budget", 503
    """The process's budget of bytes of undecided requests."""
    CONNECTIONS = "connections", 503
    """The most connections of a listener."""
    STOPPING = "stopping", 503
    """The request had not arrived when the process was asked to stop."""


class RequestLimits(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Bounds of each request that a listener receives."""

    empty_line_bytes: Bytes = 64
    """Bytes of empty lines before a request."""
    request_line_bytes: Bytes = 16 << 10
    """The longest request line."""
    head_bytes: Bytes = 64 << 10
    """The longest head: the request line and all header lines."""
    head_lines: Count = 256
    """The most lines of a head."""
    chunk_extension_bytes: Bytes = 16 << 10
    """Bytes of the extensions of all chunks of a body."""
    chunk_framing_bytes: Bytes = 16 << 10
    """Bytes by which the framing of chunks may exceed their content."""
    trailer_bytes: Bytes = 16 << 10
    """Bytes of all trailers of a body."""
    trailer_lines: Count = 64
    """The most trailers of a body."""
    discarded_bytes: Bytes = 16 << 20
    """Bytes of a refused body that are read, and dropped, for its answer."""
    receive_grace_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 10.0
    """Time, in seconds, that a request may take whatever its size."""
    least_rate_bytes_s: Bytes = 16 << 10
    """Bytes received that extend that time by a second each."""

    def receive_time_s(self, received_bytes: int) -> float:
        """Return how long a request may take to arrive, in seconds.

        :param received_bytes: its bytes that have arrived.
        """
        return self.receive_grace_s + received_bytes / self.least_rate_bytes_s


class Part(Enum):
    """The part of a request that the next byte belongs to."""

    EMPTY_LINES = 0
    """Before the request; also between requests."""
    HEAD = 1
    FRAMING = 2
    """The head is complete, and the parser has to tell the body's length."""
    BODY = 3
    """A body whose length is known."""
    CHUNK_LINE = 4
    CHUNK_DATA = 5
    CHUNK_END = 6
    """The end of line after the data of a chunk."""
    TRAILERS = 7


class RequestMeter:
    """Follows the parts of the requests on one connection.

    The caller passes all bytes to `advance` before the parser gets them, and
    tells at the end of a head how the body is framed.

    :param limits: the bounds.
    """

    __slots__ = (
        "_body_bytes",
        "_extension_bytes",
        "_framing_bytes",
        "_has_ended",
        "_left_bytes",
        "_limits",
        "_line",
        "_lines",
        "_part",
        "_part_bytes",
        "_received_bytes",
        "_steps",
        "_tail",
        "_total_lines",
    )

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self._begin()
        self._has_ended = False
        self._steps = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the present request, empty lines before it included."""
        return self._received_bytes

    @property
    def body_bytes(self) -> int:
        """Bytes of the present request's body, without its framing."""
        return self._body_bytes

    @property
    def lines(self) -> int:
        """Lines of the present request's head and trailers."""
        return self._total_lines

    @property
    def steps(self) -> int:
        """Parts and lines that the last call of `advance` has taken.

        They measure the work of the parser, too.
        """
        return self._steps

    @property
    def has_begun(self) -> bool:
        """Whether any byte of a request that is not complete has arrived.

        Empty lines before a request don't begin it.
        """
        return self._part is not Part.EMPTY_LINES

    @property
    def has_ended(self) -> bool:
        """Whether the bytes that were taken last completed a request."""
        return self._has_ended

    @property
    def awaits_framing(self) -> bool:
        """Whether a head is complete and `begin_body` has to follow."""
        return self._part is Part.FRAMING

    def begin_body(self, length: int, *, is_chunked: bool) -> None:
        """Tell the framing of the body whose head is complete.

        :param length: its length in bytes, unless it is chunked.
        :param is_chunked: whether it comes in chunks.
        """
        if is_chunked:
            self._begin_chunk_line()
        elif length > 0:
            self._part = Part.BODY
            self._left_bytes = length
        else:
            self._end()

    def advance(
        self, data: bytes, start: int, max_steps: int = MAX_STEPS
    ) -> tuple[int, Bound | None]:
        """Take the next bytes, to the end of a head or a request at most.

        :param data: what has arrived.
        :param start: the position of the first byte that was not taken.
        :param max_steps: the steps after which it stops earlier.
        :returns: the position after the last byte taken, and the bound that
            the request exceeds, if any. The bytes taken then don't count.
        """
        self._has_ended = False
        self._steps = 0
        position = start
        bound: Bound | None = None
        while (
            position < len(data) and bound is None and self._steps < max_steps
        ):
            self._steps += 1
            part = self._part
            before = position
            if part is Part.BODY or part is Part.CHUNK_DATA:
                position = self._take_data(len(data), position)
            elif part is Part.HEAD:
                position, bound = self._take_head(data, position)
            elif part is Part.EMPTY_LINES:
                position, bound = self._take_empty_lines(data, position)
            elif part is Part.CHUNK_LINE:
                position, bound = self._take_chunk_line(data, position)
            elif part is Part.CHUNK_END:
                position, bound = self._take_chunk_end(data, position)
            elif part is Part.TRAILERS:
                position, bound = self._take_trailers(data, position)
            else:
                return position, Bound.FRAMING
            if self._has_ended:
                break
            self._received_bytes += position - before
            if self._part is Part.FRAMING:
                break
        return position, bound

    def _begin(self) -> None:
        self._part = Part.EMPTY_LINES
        self._part_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._extension_bytes = 0
        self._framing_bytes = 0
        self._left_bytes = 0
        self._line = b""
        self._lines = 0
        self._total_lines = 0
        self._tail = b""

    def _end(self) -> None:
        self._begin()
        self._has_ended = True

    def _take_empty_lines(
        self, data: bytes, start: int
    ) -> tuple[int, Bound | None]:
        position = start
        while position < len(data) and data[position] in LINE_END:
            position += 1
            if self._part_bytes + position - start > (
                self._limits.empty_line_bytes
            ):
                return position, Bound.EMPTY_LINES
        self._part_bytes += position - start
        if position < len(data):
            self._part = Part.HEAD
            self._part_bytes = 0
        return position, None

    def _take_head(self, data: bytes, start: int) -> tuple[int, Bound | None]:
        """Take bytes up to the end of the head.

        The common case, a head in one piece, is found by one search.
        """
        limits = self._limits
        end = self._find_end(data, start, HEAD_END)
        stop = len(data) if end < 0 else end
        if self._lines == 0:
            line_end = data.find(b"\n", start, stop)
            line_stop = stop if line_end < 0 else line_end + 1
            if self._part_bytes + line_stop - start > min(
                limits.request_line_bytes, limits.head_bytes
            ):
                return start, Bound.REQUEST_LINE
        over = self._check_lines(
            data, start, stop, limits.head_bytes, limits.head_lines
        )
        if over is not None:
            return start, (Bound.HEAD_BYTES, Bound.HEAD_LINES)[over]
        if end < 0:
            self._keep_tail(data, start)
        else:
            self._part = Part.FRAMING
        return stop, None

    def _check_lines(
        self,
        data: bytes,
        start: int,
        stop: int,
        max_bytes: int,
        max_lines: int,
    ) -> int | None:
        """Count bytes and lines of a part.

        Which of two bounds is exceeded first depends on the bytes alone.

        :returns: 0 if the bytes exceed their bound first, 1 if the lines do;
            none if neither does.
        """
        lines = data.count(b"\n", start, stop)
        is_too_long = self._part_bytes + stop - start > max_bytes
        if self._lines + lines > max_lines:
            position = start
            for _ in range(max_lines + 1 - self._lines):
                position = data.index(b"\n", position) + 1
            if self._part_bytes + position - start <= max_bytes:
                return 1
        if is_too_long:
            return 0
        self._lines += lines
        self._total_lines += lines
        self._steps += lines
        self._part_bytes += stop - start
        return None

    def _find_end(self, data: bytes, start: int, mark: bytes) -> int:
        """Return the position after a mark that may have begun earlier.

        :returns: the position; -1 if the mark is not complete.
        """
        tail = self._tail
        if tail:
            joined = tail + data[start : start + len(mark) - 1]
            found = joined.find(mark)
            if found >= 0:
                return start + found + len(mark) - len(tail)
        found = data.find(mark, start)
        return -1 if found < 0 else found + len(mark)

    def _keep_tail(self, data: bytes, start: int) -> None:
        """Keep the last bytes, in which the mark of an end may begin."""
        size = len(HEAD_END) - 1
        self._tail = (self._tail + data[max(start, len(data) - size) :])[
            -size:
        ]

    def _take_data(self, size: int, start: int) -> int:
        taken = min(size - start, self._left_bytes)
        self._left_bytes -= taken
        self._body_bytes += taken
        if self._left_bytes == 0:
            if self._part is Part.BODY:
                self._end()
            else:
                self._part = Part.CHUNK_END
                self._left_bytes = len(LINE_END)
        return start + taken

    def _begin_chunk_line(self) -> None:
        self._part = Part.CHUNK_LINE
        self._line = b""

    def _take_chunk_line(
        self, data: bytes, start: int
    ) -> tuple[int, Bound | None]:
        """Take bytes up to the end of a chunk's first line."""
        found = data.find(b"\n", start)
        stop = len(data) if found < 0 else found + 1
        line_bytes = len(self._line) + stop - start
        excess_bytes = max(0, line_bytes - PLAIN_CHUNK_LINE_BYTES)
        if self._extension_bytes + excess_bytes > (
            self._limits.chunk_extension_bytes
        ):
            return start, Bound.CHUNK_LINE
        self._line += data[start:stop]
        if found < 0:
            return stop, None
        self._extension_bytes += excess_bytes
        self._framing_bytes += line_bytes + len(LINE_END)
        size = parse_chunk_size(self._line)
        if size is None:
            return stop, Bound.FRAMING
        if self._framing_bytes - self._body_bytes > (
            self._limits.chunk_framing_bytes
        ):
            return stop, Bound.CHUNK_FRAMING
        if size > 0:
            self._part = Part.CHUNK_DATA
            self._left_bytes = size
        else:
            self._part = Part.TRAILERS
            self._part_bytes = 0
            self._lines = 0
            # The trailers also end with an empty line if there are none.
            self._tail = LINE_END
        self._line = b""
        return stop, None

    def _take_chunk_end(
        self, data: bytes, start: int
    ) -> tuple[int, Bound | None]:
        expected = LINE_END[-self._left_bytes :]
        taken = data[start : start + self._left_bytes]
        if not expected.startswith(taken):
            return start, Bound.FRAMING
        self._left_bytes -= len(taken)
        if self._left_bytes == 0:
            self._begin_chunk_line()
        return start + len(taken), None

    def _take_trailers(
        self, data: bytes, start: int
    ) -> tuple[int, Bound | None]:
        """Take bytes up to the empty line that ends the request."""
        limits = self._limits
        end = self._find_end(data, start, HEAD_END)
        stop = len(data) if end < 0 else end
        over = self._check_lines(
            data, start, stop, limits.trailer_bytes, limits.trailer_lines
        )
        if over is not None:
            return start, (Bound.TRAILER_BYTES, Bound.TRAILER_LINES)[over]
        if end < 0:
            self._keep_tail(data, start)
        else:
            self._end()
        return stop, None


def parse_chunk_size(line: bytes) -> int | None:
    """Return the size that the first line of a chunk tells.

    :param line: the line with its end.
    :returns: the size in bytes; none if the line is malformed.
    """
    digits = line.removesuffix(LINE_END).partition(b";")[0].rstrip(b" \t")
    significant = digits.lstrip(b"0")
    if (
        not digits
        or len(significant) > MAX_SIZE_DIGITS
        or not HEX_DIGITS.issuperset(significant)
    ):
        return None
    return int(significant or b"0", 16)
