"""Clients whose bytes cost a process more than they weigh.

Each kind keeps a process at work, or makes it hold objects, for few bytes.
The crowds are fixed; they depend on no measured time.
"""

from __future__ import annotations

from itertools import chain
from itertools import count
from itertools import repeat
import struct
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from hpack import Encoder
import msgspec

from fulmarscale.ids import EntryId
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.streams import SESSION_PATH
from fulmarscale.wire.streams import AGENT_PATH

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

PIECE_BYTES: Final = 64 << 10

MAX_FRAME_BYTES: Final = 16 << 10

PREFACE: Final = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

DATA: Final = 0
HEADERS: Final = 1
RST_STREAM: Final = 3
SETTINGS: Final = 4
PING: Final = 6
WINDOW_UPDATE: Final = 8
UNKNOWN: Final = 0x42
ACK: Final = 1
END_HEADERS: Final = 4

PATHS: Final = {"agent": SESSION_PATH, "own entry": AGENT_PATH}
"""The method that each role serves on its streams."""


class Size(NamedTuple):
    """The size of a crowd."""

    clients: int
    client_bytes: int
    """Bytes that each client sends, unless its connection is closed."""


SIZES: Final = {
    "chunks of one byte": Size(120, 4 << 20),
    "chunks of five bytes": Size(120, 4 << 20),
    "heads of 200 lines and unread answers": Size(200, 400 << 10),
    "heads of 250 lines that don't end": Size(950, 4 << 10),
    "pipelined requests and unread answers": Size(950, 8 << 10),
    "requests for metrics": Size(120, 256 << 10),
    "jobs of a hundred thousand tasks": Size(4, 1_000),
    "jobs of ten thousand tasks": Size(100, 4 << 10),
    "jobs of a thousand steps after all others": Size(100, 128 << 10),
    "jobs with ids of 15,000 bytes": Size(100, 64 << 10),
    "streams that are reset": Size(24, 220 << 10),
    "pings and unread answers": Size(160, 4 << 20),
    "settings and unread answers": Size(48, 4 << 20),
    "streams of 7 KB of header fields": Size(300, 560 << 10),
    "streams of 1,700 header fields": Size(100, 200 << 10),
    "settings without a meaning": Size(24, 4 << 20),
    "frames of 16 MB": Size(24, 4 << 20),
    "empty frames": Size(48, 4 << 20),
    "frames of an unknown type": Size(48, 4 << 20),
    "messages of no bytes": Size(48, 1 << 20),
    "sessions that read nothing": Size(150, 512 << 10),
    "messages with many requests": Size(24, 1 << 20),
    "messages that stop short": Size(250, 128 << 10),
}


def busy_bytes(
    kind: str, role: str, target: bytes, fields: bytes
) -> Iterator[bytes]:
    """Yield what one client sends, in pieces.

    :param kind: a key of `SIZES`.
    :param role: a key of `PATHS`, for what is sent to streams.
    :param target: the request target, for what is sent to other listeners.
    :param fields: header lines of an ordinary request.
    """
    head = b"POST %b HTTP/1.1\r\nHost: site.example\r\n%b" % (target, fields)
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    if kind == "chunks of one byte":
        return _join([chunked], repeat(b"1\r\n \r\n"))
    if kind == "chunks of five bytes":
        return _join([chunked], repeat(b"5\r\n     \r\n"))
    if kind == "heads of 200 lines and unread answers":
        lines = b"a:b\r\n" * 198
        get = b"GET %b HTTP/1.1\r\nHost: a\r\n%b\r\n" % (target, lines)
        return _join([], repeat(get))
    if kind == "heads of 250 lines that don't end":
        lines = b"".join(b"x-%03d: %03d\r\n" % (n, n) for n in range(250))
        return iter([b"GET %b HTTP/1.1\r\nHost: a\r\n%b" % (target, lines)])
    if kind.startswith("jobs "):
        return _jobs(kind, target)
    if kind == "requests for metrics":
        return _join([], repeat(b"GET /metrics HTTP/1.1\r\n\r\n"))
    if kind == "pipelined requests and unread answers":
        get = b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target
        return repeat(16 * get)
    opening = [PREFACE, make_frame(SETTINGS), make_frame(SETTINGS, flags=ACK)]
    return _join(opening, _frames(kind, PATHS[role]))


def _jobs(kind: str, target: bytes) -> Iterator[bytes]:
    """Yield submissions of large jobs, each of them under an id of its own."""
    steps = [{"count": 1}]
    padding = b""
    if kind == "jobs of a hundred thousand tasks":
        steps = [{"count": 10_000}] * 10
    elif kind == "jobs of ten thousand tasks":
        steps = [{"count": 10_000}]
    elif kind == "jobs of a thousand steps after all others":
        steps = [{"after": list(range(n))} for n in range(240)]
        steps += [{}] * 760
    else:
        assert kind == "jobs with ids of 15,000 bytes", kind
        steps = [{"count": 1_000}]
        padding = b"a" * 15_000
    task = {"cpu": 1600, "memMb": 64, "estimatedMs": 60_000}
    content = msgspec.json.encode(
        {
            "spec": "60",
            "steps": [task | each for each in steps],
            "bestEffort": True,
        }
    )
    for number in count(_next_client() * 1_000):
        yield (
            b"POST %b%016x%b HTTP/1.1\r\nHost: site.example\r\n"
            b"Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n%b"
        ) % (target[:-16], number, padding, len(content), content)


_next_client = count(1).__next__


def _frames(kind: str, path: str) -> Iterable[bytes]:
    """Return the frames that a client of the streams sends."""
    streams = range(1, 1 << 20, 2)
    part = struct.pack(">BI", 0, 16_000) + bytes(15_990)
    if kind == "streams that are reset":
        reset = struct.pack(">I", 8)
        return (
            _headers(path, stream)
            + make_frame(RST_STREAM, reset, stream=stream)
            for stream in streams
        )
    if kind == "pings and unread answers":
        return repeat(make_frame(PING, b"12345678"))
    if kind == "settings and unread answers":
        return repeat(make_frame(SETTINGS, struct.pack(">HI", 4, 65_535)))
    if kind == "streams of 7 KB of header fields":
        return (
            _headers(path, stream, ("x-a", "b" * 7_000))
            for stream in range(1, 180, 2)
        )
    if kind == "streams of 1,700 header fields":
        fields = [("x-a", "b")] * 1_700
        return (_headers(path, stream, *fields) for stream in range(1, 180, 2))
    if kind == "settings without a meaning":
        return (
            make_frame(
                SETTINGS,
                b"".join(struct.pack(">HI", key, 1) for key in keys),
            )
            for keys in (
                range(n, n + 2_000) for n in range(256, 65_000, 2_000)
            )
        )
    if kind == "frames of 16 MB":
        return chain(
            [_headers(path, 1), struct.pack(">IBI", 0xFFFFFF << 8, 0, 1)],
            repeat(bytes(PIECE_BYTES)),
        )
    if kind == "empty frames":
        return chain([_headers(path, 1)], repeat(make_frame(DATA, stream=1)))
    if kind == "frames of an unknown type":
        return repeat(make_frame(UNKNOWN, b"1"))
    if kind == "messages that stop short":
        return (
            _headers(path, stream) + make_frame(DATA, part, stream=stream)
            for stream in range(1, 180, 2)
        )
    if kind == "messages with many requests":
        return [_headers(path, 1), *_long_message()]
    if kind == "sessions that read nothing":
        no_window = make_frame(SETTINGS, struct.pack(">HI", 4, 0))
        return chain(
            [no_window, _headers(path, 1)], map(_entry_message, count(1))
        )
    assert kind == "messages of no bytes", kind
    return chain(
        [_headers(path, 1)], repeat(make_frame(DATA, bytes(5), stream=1))
    )


def make_frame(
    kind: int, content: bytes = b"", *, flags: int = 0, stream: int = 0
) -> bytes:
    """Return one frame of HTTP/2."""
    size = len(content)
    return struct.pack(">IBI", size << 8 | kind, flags, stream) + content


def _headers(path: str, stream: int, *fields: tuple[str, str]) -> bytes:
    """Return the frame that opens a stream as a process of a site does."""
    content = Encoder().encode(
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "site"),
            ("te", "trailers"),
            ("content-type", "application/grpc+msgpack"),
            *fields,
        ]
    )
    return make_frame(HEADERS, content, flags=END_HEADERS, stream=stream)


def _entry_message(number: int) -> bytes:
    """Return a message as an entry sends it, without requests."""
    message = EntryMessage(EntryId("entry-7", 1), number, None)
    content = msgspec.msgpack.encode(message)
    prefix = struct.pack(">BI", 0, len(content))
    return make_frame(DATA, prefix + content, stream=1)


def _long_message() -> Iterator[bytes]:
    """Yield the frames of a message that stops 200,000 runs of nobody."""
    task = TaskKey(JobId(""), 0, 0, 0)
    message = EntryMessage(
        EntryId("entry-7", 1), 1, None, stops=(task,) * 200_000
    )
    content = msgspec.msgpack.encode(message)
    content = struct.pack(">BI", 0, len(content)) + content
    for start in range(0, len(content), MAX_FRAME_BYTES):
        part = content[start : start + MAX_FRAME_BYTES]
        yield make_frame(DATA, part, stream=1)


def _join(first: Iterable[bytes], rest: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the parts in pieces of PIECE_BYTES or a little more."""
    piece = bytearray()
    for part in chain(first, rest):
        piece += part
        if len(piece) >= PIECE_BYTES:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)
