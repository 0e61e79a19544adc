"""What a connection holds of one request, decided from its parts alone."""

from __future__ import annotations

from typing import Final

REASONS: Final = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


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
        "limit",
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

    @property
    def held_bytes(self) -> int:
        """All that counts against the budget."""
        return max(self.size, self.reserved_bytes)


def make_refusal(status: int, *, may_retry: bool) -> bytes:
    """Return the response to a client whose connection is then closed.

    :param status: the HTTP status.
    :param may_retry: whether the client may come again in a second.
    """
    content = b"HTTP/1.1 %d %b\r\n" % (status, REASONS[status])
    if may_retry:
        content += b"retry-after: 1\r\n"
    return content + (
        b"content-type: application/json\r\ncontent-length: 2\r\n"
        b"connection: close\r\n\r\n{}"
    )
