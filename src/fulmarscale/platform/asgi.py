"""Helpers for the ASGI applications, and the metrics endpoint."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.listeners.request_scope import connection_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from fulmarscale.runs.metrics import ProcessMetrics

METRICS_PATH: Final = "/metrics"

CRASHES_PATH: Final = "/crashes"
"""Path of the crashes of targets that an entry knows of."""


class DisconnectedError(Exception):
    """The client disconnected before its request was read."""


class NoRoomError(Exception):
    """The process has no room for the request's body."""


async def read_body(
    scope: Mapping[str, Any], receive: Any, max_body_bytes: int
) -> bytes | None:
    """Read a request's body.

    :param scope: the ASGI scope.
    :param receive: the ASGI receive callable.
    :param max_body_bytes: the maximum length, in bytes.
    :returns: the body; none if it exceeds the maximum.
    :raises DisconnectedError: if the client disconnected.
    :raises NoRoomError: if there is no room; nothing was collected.
    """
    connection = connection_of(scope)
    if connection is not None:
        if connection.is_body_too_large:
            return None
        if not connection.begin_body():
            raise NoRoomError
    body: bytes | bytearray = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise DisconnectedError
        part = message.get("body", b"")
        # Most bodies come in one part, which is not copied.
        if not body:
            body = part
        elif isinstance(body, bytes):
            body = bytearray(body) + part
        else:
            body += part
        if len(body) > max_body_bytes:
            return None
        if connection is not None and connection.is_body_too_large:
            return None
        if not message.get("more_body", False):
            return bytes(body)


class MetricsApp:
    """ASGI application with a process's metrics and documents for operators.

    :param metrics: the metrics, for Prometheus.
    :param documents: functions that return JSON documents, by path.
    """

    def __init__(
        self,
        metrics: ProcessMetrics,
        documents: Mapping[str, Callable[[], bytes]] | None = None,
    ) -> None:
        self._metrics = metrics
        self._documents = documents or {}

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Handle a request."""
        render = self._documents.get(scope["path"])
        if render is not None:
            await respond(send, 200, render())
            return
        if scope["path"] != METRICS_PATH:
            await respond(send, 404)
            return
        text = self._metrics.render()
        await respond(send, 200, text, content_type=b"text/plain")


async def respond(
    send: Any,
    status: int,
    body: bytes = b"{}",
    headers: tuple[tuple[bytes, bytes], ...] = (),
    content_type: bytes = b"application/json",
) -> None:
    """Send a response.

    :param send: the ASGI send callable.
    :param status: the HTTP status.
    :param body: the body.
    :param headers: additional headers.
    :param content_type: the body's media type.
    """
    base_headers = (
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*base_headers, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})
