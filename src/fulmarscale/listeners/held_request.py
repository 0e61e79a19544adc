"""What a connection holds of one request, decided from its parts alone."""

from __future__ import annotations

from typing import Final

from fulmarscale.listeners.http_connection import MAX_PIPELINED_REQUESTS

LINE_OBJECT_BYTES: Final = 176
"""Memory that a header line takes beside its bytes."""

REQUEST_OBJECT_BYTES: Final = 3 << 10
"""Memory that a request takes that waits behind others."""

FREE_LINES: Final = 2 * MAX_PIPELINED_REQUESTS
"""Header lines of a request that don't count.

The number of connections bounds what these take.
"""

UNAVAILABLE: Final = 503

REASONS: Final = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    UNAVAILABLE: b"Service Unavailable",
}


def line_objects(lines: int) -> int:
    """Return the bytes that header lines take beyond those received.

    :param lines: the lines of one request.
    """
    return max(0, lines - FREE_LINES) * LINE_OBJECT_BYTES


class HeldRequest:
    """What a connection holds of one request until its response.

    :param head_bytes: the bytes of its head.
    :param expected: the bytes that its body may come to.
    :param limit: the most bytes of its body.
    """

    __slots__ = (
        "expected_bytes",
        "is_complete",
        "is_denied",
        "is_discarding",
        "is_queued",
        "limit",
        "lines",
        "reserved_bytes",
        "size",
    )

    def __init__(self, head_bytes: int, expected: int, limit: int) -> None:
        self.size = head_bytes
        """Bytes of the head and the collected body."""
        self.limit = limit + head_bytes
        """The most of these bytes."""
        self.expected_bytes = min(expected, limit) + head_bytes
        """The bytes that it may come to."""
        self.is_discarding = expected > limit
        """Whether the body exceeds its limit and is dropped."""
        self.is_complete = False
        self.is_denied = False
        """Whether there was no room for the complete request."""
        self.reserved_bytes = 0
        """Bytes that were claimed before they have arrived."""
        self.lines = 0
        """Lines of its head and trailers."""
        self.is_queued = False
        """Whether it arrived while another request was being handled."""

    @property
    def held_bytes(self) -> int:
        """All that counts against the budget, its objects included."""
        held_bytes = max(self.size, self.reserved_bytes)
        held_bytes += line_objects(self.lines)
        return held_bytes + REQUEST_OBJECT_BYTES * self.is_queued


def make_refusal(status: int) -> bytes:
    """Return the response to a client whose connection is then closed.

    :param status: the HTTP status.
    """
    content = b"HTTP/1.1 %d %b\r\n" % (status, REASONS[status])
    if status == UNAVAILABLE:
        content += b"retry-after: 1\r\n"
    return content + (
        b"content-type: application/json\r\ncontent-length: 2\r\n"
        b"connection: close\r\n\r\n{}"
    )
