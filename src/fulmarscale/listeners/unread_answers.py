"""Whether a client reads its answers at the least rate.

This module does no I/O and knows no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.listeners.http_limits import RequestLimits


class UnreadAnswers:
    """Follows the bytes of answers that wait for one client.

    :param limits: the grace and the least rate.
    """

    __slots__ = ("_due_at", "_is_waiting", "_limits", "_pending_bytes")

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self._is_waiting = False
        self._due_at = 0.0
        """When the client should have read more."""
        self._pending_bytes = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the client is expected to read."""
        return self._is_waiting

    def begin(self, now: float, pending_bytes: int) -> None:
        """Expect the client to read.

        :param now: monotonic time.
        :param pending_bytes: the bytes that wait.
        """
        self._is_waiting = True
        self._due_at = now + self._limits.receive_grace_s
        self._pending_bytes = pending_bytes

    def end(self) -> None:
        """Expect nothing of the client any longer."""
        self._is_waiting = False

    def is_overdue(
        self, now: float, late_s: float, pending_bytes: int
    ) -> bool:
        """Return whether the client has read too little.

        What it reads extends its time at the least rate. If more waits than
        before, what it has read is not known, and counts for nothing.

        :param now: monotonic time.
        :param late_s: how long the process was held up; the client had no
            part in this time.
        :param pending_bytes: the bytes that wait.
        """
        if pending_bytes == 0:
            self._is_waiting = False
        if not self._is_waiting:
            return False
        read_bytes = max(0, self._pending_bytes - pending_bytes)
        self._pending_bytes = pending_bytes
        self._due_at += late_s + read_bytes / self._limits.least_rate_bytes_s
        return now > self._due_at
