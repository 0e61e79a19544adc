"""Clients that keep to no limit, and what a process holds of them.

The crowd and its bytes are fixed; nothing here depends on how fast the
machine is, apart from limits after which a client gives up.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path
import socket
import struct
from typing import Final
from typing import TYPE_CHECKING

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import H2Error
from h2.exceptions import StreamClosedError
from h2.settings import SettingCodes

from fulmarscale.runs.streams import SESSION_PATH
from fulmarscale.wire.streams import AGENT_PATH

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

CLIENTS: Final = 24
CLIENT_BYTES: Final = 4 << 20
"""Bytes that each client sends, unless its connection is closed."""

BODY_BYTES: Final = 4 << 20
"""The limit of a body, in the configuration of the test's site."""

PIECE_BYTES: Final = 64 << 10
SMALL_PIECE_BYTES: Final = 4 << 10

CONNECTS_AT_ONCE: Final = 1_000
MAX_CLIENTS: Final = 8_000
"""Connections of one crowd that are kept open."""

BLOCKED_S: Final = 2.0
"""Time without progress after which a client stops sending."""

SETTLE_S: Final = 10.0
"""How long a process may take to close connections, on a slow machine."""

SMALL_BUFFERS: Final = "unread answers and small buffers"
"""The fault of clients whose system takes few bytes that are not read."""

SMALL_BUFFER_BYTES: Final = 4_096

FRAME_BYTES: Final = 16_384
"""The longest frame of an HTTP/2 connection."""


def _repeat(unit: bytes) -> Iterator[bytes]:
    piece = unit * (PIECE_BYTES // len(unit))
    while True:
        yield piece


def _chunks(size: int) -> Iterator[bytes]:
    """Yield the chunks of a body that ends one byte before the limit."""
    for _ in range(BODY_BYTES // size - 1):
        yield b"%x\r\n%b\r\n" % (size, b"x" * size)
    yield b"%x\r\n%b" % (size, b"x" * (size - 1))


def hostile_bytes(fault: str, target: bytes, fields: bytes) -> Iterator[bytes]:
    """Yield what one client sends, in pieces.

    :param fault: as the feature names it.
    :param target: the request target.
    :param fields: header lines of an ordinary request.
    """
    head = b"POST %b HTTP/1.1\r\nHost: site.example\r\n%b" % (target, fields)
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    if fault == "empty lines without end":
        yield from _repeat(b"\r\n")
    elif fault == "a request line without end":
        yield b"GET /"
        yield from _repeat(b"a")
    elif fault == "a header line without end":
        yield head + b"X-A: "
        yield from _repeat(b"a")
    elif fault == "header lines without end":
        yield head
        yield from _repeat(b"a: b\r\n")
    elif fault == "a trailer line without end":
        yield chunked + b"2\r\n{}\r\n0\r\nX-A: "
        yield from _repeat(b"a")
    elif fault == "trailer lines without end":
        yield chunked + b"2\r\n{}\r\n0\r\n"
        yield from _repeat(b"a: b\r\n")
    elif fault == "a chunk size without end":
        yield chunked
        yield from _repeat(b"0")
    elif fault == "a chunk extension without end":
        yield chunked + b"2;a="
        yield from _repeat(b"a")
    elif fault == "bodies in pieces that stop short":
        yield chunked
        yield from _chunks(SMALL_PIECE_BYTES)
    elif fault in ("unread answers", SMALL_BUFFERS):
        yield from _repeat(b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target)
    elif fault == "a slow body":
        yield head + b"Content-Length: 2000\r\n\r\n{"
    else:
        assert "that stop short" in fault, fault
        yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        for _ in range(BODY_BYTES // PIECE_BYTES - 1):
            yield b"x" * PIECE_BYTES
        yield b"x" * (PIECE_BYTES - 1)


class Crowd:
    """Connections of clients that stay open until they are closed here.

    :param address: IP:port of the listener.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []

    async def send(self, *arguments: bytes | str) -> None:
        """Let all clients send at once what `hostile_bytes` yields."""
        has_small = SMALL_BUFFERS in arguments
        clients = [
            self._connect(has_small_buffer=has_small) for _ in range(CLIENTS)
        ]
        await asyncio.gather(
            *(self._send(each, hostile_bytes(*arguments)) for each in clients)
        )

    async def send_each(
        self,
        clients: int,
        client_bytes: int,
        make_pieces: Callable[[], Iterator[bytes]],
    ) -> None:
        """Let clients send pieces, each of them up to a number of bytes."""
        sockets = [self._connect() for _ in range(clients)]
        await asyncio.gather(
            *(
                self._send(each, make_pieces(), client_bytes)
                for each in sockets
            )
        )

    async def send_messages(self) -> None:
        """Let all clients send a message of 4 GB on each of 8 streams."""
        clients = [self._connect() for _ in range(CLIENTS)]
        await asyncio.gather(*map(self._send_message, clients))

    def connect(self, count: int, data: bytes) -> None:
        """Open connections that send a few bytes, or nothing."""
        for _ in range(count):
            self._connect().send(data)

    async def connect_many(self, count: int) -> None:
        """Open connections that send nothing, as fast as they are taken.

        The oldest are closed once there are more than the clients' system
        bears.
        """
        loop = asyncio.get_running_loop()
        for _ in range(count // CONNECTS_AT_ONCE):
            clients = [socket.socket() for _ in range(CONNECTS_AT_ONCE)]
            for each in clients:
                each.setblocking(False)
            self._sockets += clients
            await asyncio.gather(
                *(loop.sock_connect(each, self._address) for each in clients),
                return_exceptions=True,
            )
            for each in self._sockets[:-MAX_CLIENTS]:
                each.close()
            del self._sockets[:-MAX_CLIENTS]

    def close(self) -> None:
        """Close all connections."""
        for each in self._sockets:
            each.close()

    def _connect(self, *, has_small_buffer: bool = False) -> socket.socket:
        connection = socket.socket()
        if has_small_buffer:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        connection.settimeout(SETTLE_S)
        connection.connect(self._address)
        connection.setblocking(False)
        self._sockets.append(connection)
        return connection

    async def _send(
        self,
        client: socket.socket,
        pieces: Iterator[bytes],
        client_bytes: int = CLIENT_BYTES,
    ) -> bool:
        """Send pieces until all bytes are sent or the server takes no more.

        :returns: whether all were sent.
        """
        loop = asyncio.get_running_loop()
        sent_bytes = 0
        for piece in pieces:
            try:
                async with asyncio.timeout(BLOCKED_S):
                    await loop.sock_sendall(client, piece)
            except (OSError, TimeoutError):
                return False
            sent_bytes += len(piece)
            if sent_bytes >= client_bytes:
                break
        return True

    async def _send_message(self, client: socket.socket) -> None:
        """Send parts of messages as far as the server lets a client."""
        loop = asyncio.get_running_loop()
        wire = H2Connection(H2Configuration(client_side=True))
        wire.initiate_connection()
        for path in (SESSION_PATH, AGENT_PATH):
            for _ in range(4):
                stream = wire.get_next_available_stream_id()
                wire.send_headers(stream, _grpc_headers(path))
                wire.send_data(stream, struct.pack(">BI", 0, 0xFFFFFFFF))
        wire.update_settings({SettingCodes.ENABLE_PUSH: 0})
        sent_bytes = 0
        while sent_bytes < CLIENT_BYTES:
            if not await self._send(client, iter([wire.data_to_send()])):
                return
            try:
                async with asyncio.timeout(BLOCKED_S / 4):
                    data = await loop.sock_recv(client, PIECE_BYTES)
                if not data:
                    return
                wire.receive_data(data)
            except TimeoutError:
                pass
            except (H2Error, OSError):
                # The server has ended streams, which is one way to refuse.
                return
            before = sent_bytes
            for stream in list(wire.streams):
                # The server ends those with a path that it doesn't serve.
                with suppress(StreamClosedError):
                    sent_bytes += _fill_window(wire, stream)
            if sent_bytes == before:
                return


def _grpc_headers(path: str) -> list[tuple[str, str]]:
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "site"),
        ("te", "trailers"),
        ("content-type", "application/grpc+msgpack"),
    ]


def _fill_window(wire: H2Connection, stream: int) -> int:
    """Send what the window of a stream allows; return the bytes."""
    sent_bytes = 0
    while True:
        size = min(wire.local_flow_control_window(stream), FRAME_BYTES)
        if size <= 0:
            return sent_bytes
        wire.send_data(stream, b"x" * size)
        sent_bytes += size


class ProcessGauge:
    """The memory and the connections of a process, from /proc.

    :param pid: the process.
    """

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        # Resets the highest use of memory.
        (self._folder / "clear_refs").write_text("5")
        self._resident_kb = self._read_kb("VmRSS")
        self._sockets = self._count_sockets()

    @property
    def growth_mb(self) -> float:
        """How far the use of memory has risen at most, in MB."""
        return (self._read_kb("VmHWM") - self._resident_kb) / 1024

    @property
    def highest_mb(self) -> float:
        """The highest use of memory, in MB."""
        return self._read_kb("VmHWM") / 1024

    @property
    def more_sockets(self) -> int:
        """How many sockets it has more than before."""
        return self._count_sockets() - self._sockets

    def _read_kb(self, name: str) -> int:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
        raise AssertionError("the process has ended")

    def _count_sockets(self) -> int:
        links = [_read_link(each) for each in self._folder.glob("fd/*")]
        return sum(link.startswith("socket:") for link in links)


def _read_link(path: Path) -> str:
    try:
        return str(path.readlink())
    except OSError:
        return ""
