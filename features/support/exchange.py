"""Requests to ASGI applications, made without a network."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Exchange:
    """One HTTP request to an ASGI application."""

    def __init__(self, method: str, path: str, body: bytes) -> None:
        self._scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(b"host", b"site.example"), (b"deadline-ms", b"900")],
        }
        self._body = body
        self.disconnects = False
        """Whether the caller disconnects once the request is sent."""
        self.on_body: Callable[[], None] = lambda: None
        """Called as the application receives the body."""
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    async def run(self, app: Any) -> None:
        """Make the request and store the response in the attributes."""
        self._messages = [{"type": "http.request", "body": self._body}]
        await app(self._scope, self._receive, self._send)

    async def _receive(self) -> dict[str, Any]:
        if self._messages:
            self.on_body()
            return self._messages.pop(0)
        if not self.disconnects:
            await asyncio.sleep(3600)
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = dict(message["headers"])
        else:
            self.body += message["body"]
