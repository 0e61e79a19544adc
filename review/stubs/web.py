"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import json
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit


class Request(NamedTuple):
    """A request as the server received it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    """Values by name in lower case."""
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Reply(NamedTuple):
    """An answer; `SILENCE` in its place leaves a request unanswered."""

    status: int
    content: Any = None


SILENCE = None
"""Returned by a handler whose answer is lost.

The connection then delivers nothing further until the client closes it.
"""


class WebServer:
    """Serves an asynchronous handler on one loopback address."""

    def __init__(self, handler: Any) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await _read_request(reader)
                reply = await self._handler(request)
                if reply is SILENCE:
                    while await reader.read(1 << 16):
                        pass
                    break
                content = reply.content
                data = json.dumps({} if content is None else content).encode()
                writer.write(
                    f"HTTP/1.1 {reply.status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {
        name: values[0]
        for name, values in parse_qs(
            parts.query, keep_blank_values=True
        ).items()
    }
    return Request(method, parts.path, query, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Send one request on a connection of its own.

    :returns: the status and the decoded body; status 0 without an answer.
    """
    body = b"" if content is None else json.dumps(content).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    all_headers = {"Host": address, "Content-Type": "application/json"}
    all_headers |= headers or {}
    lines += [f"{name}: {value}" for name, value in all_headers.items()]
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.strip().split("\r\n")
            size = 0
            for line in rest:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    size = int(value)
            data = await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    status = int(first.split(" ")[1])
    try:
        return status, json.loads(data) if data else None
    except ValueError:
        return status, None
