"""What the platform's small ASGI applications share."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.metrics import SiteMetrics

METRICS_PATH: Final = "/metrics"


class DisconnectedError(Exception):
    """The caller has left before its request was read."""


async def read_body(receive: Any, limit: int) -> bytes | None:
    """Read a request's body.

    :param receive: the ASGI receive call.
    :param limit: the longest body, in bytes.
    :returns: the body; none if it is longer.
    :raises DisconnectedError: if the caller left.
    """
    body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise DisconnectedError
        body += message.get("body", b"")
        if len(body) > limit:
            return None
        if not message.get("more_body", False):
            return body


class MetricsApp:
    """An ASGI application that gives a process's metrics."""

    def __init__(self, metrics: SiteMetrics) -> None:
        self._metrics = metrics

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Serve a request."""
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

    :param send: the ASGI send call.
    :param status: the HTTP status.
    :param body: the body.
    :param headers: further headers.
    :param content_type: the body's type.
    """
    base = (
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*base, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})
