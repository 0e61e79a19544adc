"""What the platform's small ASGI applications share."""

from __future__ import annotations

from typing import Any


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


async def respond(
    send: Any,
    status: int,
    body: bytes = b"{}",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a JSON response.

    :param send: the ASGI send call.
    :param status: the HTTP status.
    :param body: JSON.
    :param headers: further headers.
    """
    base = (
        (b"content-type", b"application/json"),
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
